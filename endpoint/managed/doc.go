// Package managed speaks to a managed database that reports itself in a status table and is told by procedures.
package managed
