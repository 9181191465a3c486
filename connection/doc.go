// Package connection pools this instance's connections to endpoints: it bounds their number, queues requests for them and tracks the state of each.
package connection
