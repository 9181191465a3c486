// Package postgres speaks to stock PostgreSQL: recovery functions for status, a custom setting kept by ALTER SYSTEM as the fence and a replicated table for the log's term.
package postgres
