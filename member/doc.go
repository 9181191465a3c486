// Package member keeps track of the live instances by heartbeats and gossip, and assigns endpoints and the coordination of
// databases to them. Table and Placement do no input or output; Driver exchanges the heartbeats.
package member
