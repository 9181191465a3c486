// Package postgres implements endpoint.Vendor for stock PostgreSQL. It queries the recovery functions for the status, keeps
// the promised term in a custom setting by ALTER SYSTEM and the log's term in a replicated table.
package postgres
