package connection

import "github.com/VictoriaMetrics/metrics"

// Connections of this instance to endpoints, without borrowed ones: how many there are, and how demands got theirs.
var (
	connectionsOpen    = metrics.NewCounter(`siskincove_endpoint_connections{state="open"}`)
	connectionsIdle    = metrics.NewCounter(`siskincove_endpoint_connections{state="idle"}`)
	connectionsOpened  = metrics.NewCounter(`siskincove_connections_total{how="opened"}`)
	connectionsReused  = metrics.NewCounter(`siskincove_connections_total{how="reused"}`)
	connectionsEvicted = metrics.NewCounter(`siskincove_connections_total{how="evicted"}`)
)

func (p *Pool) count(c *metrics.Counter, delta int) {
	if !p.options.Borrows {
		c.Add(delta)
	}
}

func (p *Pool) countOpen(delta int) { p.count(connectionsOpen, delta) }
func (p *Pool) countIdle(delta int) { p.count(connectionsIdle, delta) }
func (p *Pool) countOpened()        { p.count(connectionsOpened, 1) }
func (p *Pool) countReused()        { p.count(connectionsReused, 1) }
func (p *Pool) countEvicted()       { p.count(connectionsEvicted, 1) }
