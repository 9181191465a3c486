// Package peer exchanges frames between instances, over one yamux connection to each peer with a stream for each
// transaction or request.
package peer
