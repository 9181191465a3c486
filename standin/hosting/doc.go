// Package hosting stands in for the users' platform in tests: its store of rows, groups of endpoints that speak its line protocol, and the promotion of an endpoint. All of it can fail in the ways the platform's pages tell.
package hosting
