// Package dispatch runs callers' statements at endpoints. It chooses the endpoint, keeps a session's settings, prepared
// statements and transaction, retries reads and statements that certainly did not run, and returns exactly one answer per
// request.
package dispatch
