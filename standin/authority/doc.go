// Package authority issues certificates for tests and experiments.
package authority
