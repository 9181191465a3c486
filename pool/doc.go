// Package pool manages the connections and slots of endpoints: it admits transactions, checks freshness, relays requests, confirms commits and serves status requests.
package pool
