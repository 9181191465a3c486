// Package database keeps, for each database group, what this instance has observed of it and the connections to its
// endpoints.
package database
