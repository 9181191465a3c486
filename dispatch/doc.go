// Package dispatch runs callers' statements at endpoints: it chooses the endpoint, keeps a session's settings, prepared statements and transaction, tries again what certainly did not run, and gives each request one true answer.
package dispatch
