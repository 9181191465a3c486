// Package certificate keeps the certificates, keys and authorities named in the settings, and takes over new ones without a restart.
package certificate
