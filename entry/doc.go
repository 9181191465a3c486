// Package entry is the PostgreSQL front end for callers: it implements the wire protocol, authenticates callers, keeps
// their sessions and routes their requests to the owners of endpoints.
package entry
