// Package message reads and rewrites framed messages of the PostgreSQL protocol without decoding all of them.
package message
