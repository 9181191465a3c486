// Package transfer holds the decisions by which instances pass on large values: how a value is cut into pieces, which pieces a receiver
// lacks, and whom a sender serves.
package transfer
