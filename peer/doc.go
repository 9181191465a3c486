// Package peer carries frames between instances: one yamux connection to each peer and one stream for each transaction or question.
package peer
