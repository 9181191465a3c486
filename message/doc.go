// Package message frames messages of the PostgreSQL wire protocol, and reads and replaces the names of prepared
// statements in them without decoding the rest.
package message
