// Package coordinator runs, for each database that this instance is among the first to coordinate, whatever coordinates a database of its vendor.
package coordinator
