// Package member knows which instances live and which of them owns an endpoint or coordinates a database. The table and the placement are pure; Driver exchanges the heartbeats.
package member
