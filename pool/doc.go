// Package pool owns the connections and slots of endpoints: it admits transactions, checks freshness, relays requests, confirms commits and answers questions about status.
package pool
