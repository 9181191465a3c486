// Package member keeps the membership of instances by heartbeats and gossip, and assigns endpoints and the coordination of databases to live instances. Table and Placement are pure; Driver exchanges the heartbeats.
package member
