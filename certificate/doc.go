// Package certificate loads the certificates, keys and certificate authorities named in the settings, and reloads them
// without a restart.
package certificate
