// Package verifier creates and parses SCRAM-SHA-256 verifiers of callers' passwords.
package verifier
