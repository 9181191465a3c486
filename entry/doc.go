// Package entry serves callers: it speaks the PostgreSQL protocol with them, authenticates them, keeps their sessions and sends their requests to the owners of endpoints.
package entry
