// Package connection keeps the connections of this instance to endpoints: how many, who waits for one, and what state each is in.
package connection
