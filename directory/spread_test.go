package directory

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"siskincove/meter"
	"siskincove/transfer"
)

const (
	spreadBound   = 5 * time.Second
	spreadLink    = 10_000_000 / 8 // bytes a second
	spreadRound   = 700 * time.Millisecond
	spreadPartner = 8
	// compression is by how much pieces shrink.
	compression = 3
)

// network is a model of one failure domain in which a few instances have a newer configuration than the others. The decisions are
// those of Sources, transfer.Assembly and transfer.Admission; links pass on one message after the other.
type network struct {
	now    time.Time
	events events
	nodes  []*modelNode
	random *rand.Rand
	// bytes is the sum of what was sent in pieces.
	bytes int
	// lossPercent is how many of 100 pulls are lost.
	lossPercent int
}

// modelNode is an instance of the model.
type modelNode struct {
	name      string
	versions  Versions
	document  transfer.Document
	arrived   transfer.Assembly
	admission transfer.Admission
	sources   Sources
	partners  []*modelNode
	// linkFree is when the node's link has passed on all that it was given.
	linkFree time.Time
	busy     bool
	finished time.Time
}

type modelEvent struct {
	at  time.Time
	run func()
}

type events []modelEvent

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(modelEvent)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (n *network) after(d time.Duration, run func()) {
	heap.Push(&n.events, modelEvent{n.now.Add(d), run})
}

// send runs then once both links have passed on a number of bytes.
func (n *network) send(from, to *modelNode, bytes int, then func()) {
	took := time.Duration(bytes) * time.Second / spreadLink
	for _, node := range []*modelNode{from, to} {
		if node.linkFree.Before(n.now) {
			node.linkFree = n.now
		}
		node.linkFree = node.linkFree.Add(took)
	}
	arrival := from.linkFree
	if to.linkFree.After(arrival) {
		arrival = to.linkFree
	}
	n.after(arrival.Sub(n.now)+time.Millisecond, then)
}

func newNetwork(size int, old []byte, seed uint64) *network {
	n := &network{now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 0))}
	for i := range size {
		n.nodes = append(n.nodes, &modelNode{name: fmt.Sprint(i), versions: Versions{Configuration: 1}, document: transfer.NewDocument(old)})
	}
	for _, node := range n.nodes {
		for _, index := range n.random.Perm(size)[:spreadPartner] {
			node.partners = append(node.partners, n.nodes[index])
		}
		n.after(time.Duration(n.random.Float64()*float64(spreadRound)), func() { n.heartbeats(node) })
	}
	return n
}

// heartbeats announces a node's version to some of its partners, at intervals.
func (n *network) heartbeats(node *modelNode) {
	for range 3 {
		n.announce(node, node.partners[n.random.IntN(len(node.partners))])
	}
	n.after(spreadRound, func() { n.heartbeats(node) })
}

func (n *network) announce(from, to *modelNode) {
	if from.versions.NewerThan(to.versions) {
		to.sources = to.sources.Newer(to.versions).With(Source{Address: from.name, Distance: meter.SameDomain, Versions: from.versions, NotBefore: n.now})
		n.step(to)
	}
	if to.versions.NewerThan(from.versions) {
		from.sources = from.sources.Newer(from.versions).With(Source{Address: to.name, Distance: meter.SameDomain, Versions: to.versions, NotBefore: n.now})
		n.step(from)
	}
}

// supply gives a node a version and lets it announce it at once.
func (n *network) supply(node *modelNode, version uint64, document transfer.Document) {
	node.versions.Configuration, node.document, node.finished = version, document, n.now
	for _, p := range node.partners {
		n.after(time.Millisecond, func() { n.announce(node, p) })
	}
}

// step starts the next request of a node that has none.
func (n *network) step(node *modelNode) {
	if node.busy {
		return
	}
	source, wait, pending := node.sources.Next(node.versions, n.now)
	switch {
	case source.Address != "":
		node.busy = true
		n.pull(node, n.find(source.Address))
	case pending:
		n.after(wait, func() { n.step(node) })
	}
}

func (n *network) find(name string) *modelNode {
	for _, node := range n.nodes {
		if node.name == name {
			return node
		}
	}
	return nil
}

// pull asks a source for its manifest and then for the next pieces.
func (n *network) pull(node, from *modelNode) {
	version, document := from.versions.Configuration, from.document
	node.arrived, _ = transfer.NewAssembly(document.Manifest(), node.document, node.arrived)
	hashes := node.arrived.Next(transfer.RequestBytes)
	if len(hashes) == 0 {
		node.busy, node.arrived = false, transfer.Assembly{}
		n.supply(node, version, document)
		n.step(node)
		return
	}
	var wait time.Duration
	if from.admission, wait = from.admission.With(node.name, node.arrived.Missing(), n.now); wait > 0 {
		n.release(node, from, wait)
		return
	}
	if n.random.IntN(100) < n.lossPercent {
		n.after(time.Second, func() { n.release(node, from, spreadRound) })
		return
	}
	var pieces []transfer.Piece
	bytes := 0
	for _, h := range hashes {
		data, _ := document.Piece(h)
		pieces, bytes = append(pieces, transfer.Piece{Hash: h, Data: data}), bytes+len(data)/compression
	}
	n.bytes += bytes
	n.send(from, node, bytes, func() {
		node.arrived, _, _ = node.arrived.With(pieces)
		n.pull(node, from)
	})
}

// release lets a node turn to another source.
func (n *network) release(node, from *modelNode, pause time.Duration) {
	node.busy = false
	node.sources = node.sources.WithPause(from.name, n.now.Add(pause))
	n.after(time.Millisecond, func() { n.step(node) })
}

// runUntil runs the model until a time, or until every node has a version.
func (n *network) runUntil(end time.Time, version uint64) {
	for n.now.Before(end) && len(n.events) > 0 && n.lagging(version) > 0 {
		e := heap.Pop(&n.events).(modelEvent)
		n.now = e.at
		e.run()
	}
}

// lagging returns how many nodes have an older version.
func (n *network) lagging(version uint64) int {
	count := 0
	for _, node := range n.nodes {
		if node.versions.Configuration < version {
			count++
		}
	}
	return count
}

// grown returns a configuration with a number of routes.
func grown(routes int) []byte {
	var out []byte
	for i := range routes {
		out = fmt.Appendf(out, `{"name":"%016x","service":"g","timeout-ms":800,"priority":2}`, uint64(transfer.HashOf([]byte(fmt.Sprint(i)))))
	}
	return out
}

// TestLargeConfigurationSpreads guards against the load of incident inc1: the configuration grows by many routes and is then changed
// again, two instances of a failure domain get it from the store, and all others pull it over links of 10 Mbit/s. Each must have it
// within the users' bound, and the bytes sent must stay near those that are missing.
func TestLargeConfigurationSpreads(t *testing.T) {
	tests := map[string]struct {
		size, before, after int
		lossPercent         int
		// changedAt is when a further version with one more route follows, 0 for never.
		changedAt time.Duration
	}{
		"failure domain of 20":             {size: 20, before: 2800, after: 4200},
		"all routes are new":               {size: 20, before: 0, after: 4200},
		"one route more":                   {size: 20, before: 4200, after: 4201},
		"followed by a change of nothing":  {size: 20, before: 2800, after: 4200, changedAt: 60 * time.Millisecond},
		"one in twenty requests is lost":   {size: 20, before: 2800, after: 4200, lossPercent: 5},
		"ten times as many routes":         {size: 20, before: 28000, after: 42000},
		"144 instances":                    {size: 144, before: 2800, after: 4200},
		"1,000 instances":                  {size: 1000, before: 2800, after: 4200},
		"1,000 instances, one route more":  {size: 1000, before: 4200, after: 4201},
		"1,000 instances that all start":   {size: 1000, before: 0, after: 4200},
		"144 instances and lost requests":  {size: 144, before: 2800, after: 4200, lossPercent: 5},
		"144 instances, changed meanwhile": {size: 144, before: 2800, after: 4200, changedAt: 100 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			old, value := grown(test.before), grown(test.after)
			n := newNetwork(test.size, old, 7)
			n.lossPercent = test.lossPercent
			started := n.now
			version, document := uint64(2), transfer.NewDocument(value)
			n.supply(n.nodes[0], version, document)
			n.supply(n.nodes[1], version, document)
			last := started
			if test.changedAt > 0 {
				n.runUntil(started.Add(test.changedAt), version+1)
				version++
				document = transfer.NewDocument(append(value, "changed"...))
				n.supply(n.nodes[0], version, document)
				n.supply(n.nodes[1], version, document)
				last = n.now
			}
			n.runUntil(last.Add(spreadBound), version)
			if lagging := n.lagging(version); lagging > 0 {
				t.Errorf("%d of %d instances lack the configuration after %s", lagging, test.size, spreadBound)
			}
			missing, err := transfer.NewAssembly(document.Manifest(), transfer.NewDocument(old))
			if err != nil {
				t.Fatal(err)
			}
			const factor = 2
			if limit := factor * test.size * max(missing.Missing(), transfer.MaxPieceBytes) / compression; n.bytes > limit {
				t.Errorf("%d bytes were sent, want at most %d", n.bytes, limit)
			}
			t.Logf("%s, %d bytes, %d missing at each", n.now.Sub(last), n.bytes, missing.Missing())
		})
	}
}

// TestAnyConfigurationSpreads checks for any deployment, growth, loss of requests and series of changes that each instance gets the newest
// configuration within the users' bound after the last change, and that no version costs much more than what is missing of it.
func TestAnyConfigurationSpreads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(spreadPartner, 150).Draw(t, "instances")
		n := newNetwork(size, grown(rapid.IntRange(0, 3000).Draw(t, "before")), rapid.Uint64().Draw(t, "seed"))
		n.lossPercent = rapid.IntRange(0, 5).Draw(t, "loss")
		value, version, limit := []byte(nil), uint64(1), 0
		for range rapid.IntRange(1, 4).Draw(t, "changes") {
			version++
			value = append(value, grown(rapid.IntRange(0, 2000).Draw(t, "routes"))...)
			value = fmt.Appendf(value, "version %d", version)
			document := transfer.NewDocument(value)
			for _, node := range n.nodes {
				missing, err := transfer.NewAssembly(document.Manifest(), node.document)
				if err != nil {
					t.Fatal(err)
				}
				limit += 2 * max(missing.Missing(), transfer.MaxPieceBytes) / compression
			}
			n.supply(n.nodes[0], version, document)
			n.supply(n.nodes[1], version, document)
			n.runUntil(n.now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "pause"))*time.Millisecond), version)
		}
		bound := spreadBound
		if n.lossPercent > 0 {
			// Instances whose requests are lost are not in touch; each loss costs them a second.
			bound *= 2
		}
		n.runUntil(n.now.Add(bound), version)
		if lagging := n.lagging(version); lagging > 0 {
			t.Errorf("%d of %d instances lack the configuration after %s", lagging, size, bound)
		}
		if n.bytes > limit {
			t.Errorf("%d bytes were sent, want at most %d", n.bytes, limit)
		}
	})
}
