// Package member keeps the membership of instances by heartbeats and gossip, and places endpoints and the coordination of databases on live instances. Table and Placement are pure; Driver exchanges the heartbeats.
package member
