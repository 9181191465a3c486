// Package group decides which endpoint of a database group serves a statement, from what this instance has observed:
// which endpoint leads, that is, is the primary, how far each endpoint has applied the log, and how loaded each endpoint
// is. It uses no clock and no network; callers pass the time.
package group
