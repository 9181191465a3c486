// Package authority makes certificates for tests and experiments.
package authority
