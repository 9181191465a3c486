// Package verifier makes and reads SCRAM-SHA-256 verifiers of callers' passwords.
package verifier
