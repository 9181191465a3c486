package freshness

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return epoch.Add(d) }

// TestUsable checks which of several proofs holds for the configuration in force.
func TestUsable(t *testing.T) {
	const s = time.Second
	tests := map[string]struct {
		ledger  Ledger
		inForce uint64
		want    Proof
	}{
		"none":                               {Ledger{}, 3, Proof{}},
		"of the version in force":            {Ledger{}.With(Proof{3, at(s)}, 3), 3, Proof{3, at(s)}},
		"the later one":                      {Ledger{}.With(Proof{3, at(2 * s)}, 3).With(Proof{3, at(s)}, 3), 3, Proof{3, at(2 * s)}},
		"of a newer version, not in force":   {Ledger{}.With(Proof{3, at(s)}, 3).With(Proof{4, at(2 * s)}, 3), 3, Proof{3, at(s)}},
		"of a newer version, in force now":   {Ledger{}.With(Proof{3, at(s)}, 3).With(Proof{4, at(2 * s)}, 3), 4, Proof{4, at(2 * s)}},
		"of a version before the newest":     {Ledger{}.With(Proof{3, at(s)}, 3).With(Proof{5, at(2 * s)}, 3), 4, Proof{3, at(s)}},
		"of an older version than in force":  {Ledger{}.With(Proof{2, at(s)}, 3), 3, Proof{}},
		"of an older version than was heard": {Ledger{}.With(Proof{5, at(s)}, 0).With(Proof{4, at(2 * s)}, 0), 4, Proof{}},
		"a read of a restored store": {
			Ledger{}.WithRead(Proof{3, at(s)}, 0, 3, at(s)).WithRead(Proof{3, at(2 * s)}, 1, 3, at(2*s)), 3, Proof{3, at(s)},
		},
		// An instance that has just started does not know what the copy lacks.
		"the first read, of a restored store": {
			Ledger{}.WithRead(Proof{3, at(s)}, 1, 3, at(s)), 3, Proof{},
		},
		"a read some time after a restore": {
			Ledger{}.WithEra(1, at(0)).WithEra(2, at(s)).WithRead(Proof{3, at(2 * s)}, 2, 3, at(2*s)), 3, Proof{3, at(2 * s)},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got, _ := test.ledger.Usable(test.inForce)
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// model is a deployment in which each configuration withdraws a key: instances ask the store and each other, and messages take any
// time, as do suspensions of instances, which delay what they receive. Each instance has a clock of its own.
type model struct {
	t       *rapid.T
	now     time.Duration
	acked   []time.Duration // acked[v] is when version v was acknowledged
	stored  uint64          // the version in the store
	era     uint64
	written time.Duration // when the operator writes again what a restore lost
	nodes   []*node
	flights []func()
}

// node is an instance of the model.
type node struct {
	offset  time.Duration
	inForce uint64
	ledger  Ledger
}

// clock returns the node's time, which counts suspensions and differs from that of others by a constant.
func (m *model) clock(n *node) time.Time { return epoch.Add(m.now + n.offset) }

func (m *model) node(label string) *node { return rapid.SampledFrom(m.nodes).Draw(m.t, label) }

// askStore sends a question to the store, which answers later; the answer arrives later still.
func (m *model) askStore() {
	n := m.node("reader")
	sent := m.clock(n)
	m.flights = append(m.flights, func() {
		version, era := m.stored, m.era
		m.flights = append(m.flights, func() {
			n.inForce = max(n.inForce, version)
			n.ledger = n.ledger.WithRead(Proof{version, sent}, era, n.inForce, m.clock(n))
		})
	})
}

// askPeer sends a question to a peer, which answers later; a newer configuration arrives on its own or not at all.
func (m *model) askPeer() {
	n, peer := m.node("asker"), m.node("asked")
	sent := m.clock(n)
	m.flights = append(m.flights, func() {
		proof, proven := peer.ledger.Usable(peer.inForce)
		age, version, era := proof.Age(m.clock(peer)), peer.inForce, peer.ledger.era
		if rapid.IntRange(0, 3).Draw(m.t, "fetched") == 0 {
			m.flights = append(m.flights, func() { n.inForce = max(n.inForce, version) })
		}
		m.flights = append(m.flights, func() {
			if n.ledger = n.ledger.WithEra(era, m.clock(n)); proven {
				n.ledger = n.ledger.With(Proof{version, sent.Add(-age)}, n.inForce)
			}
		})
	})
}

// publish acknowledges a newer configuration.
func (m *model) publish() {
	m.acked = append(m.acked, m.now)
	m.stored = uint64(len(m.acked) - 1)
}

// restore brings the store back with an older configuration, until the operator writes the newest one again.
func (m *model) restore() {
	if m.written > 0 || m.stored == 1 {
		return
	}
	m.era++
	m.stored--
	m.written = m.now + rapid.Custom(func(t *rapid.T) time.Duration {
		return time.Duration(rapid.Int64Range(1, int64(restoreSettle)-1).Draw(t, "ns"))
	}).Draw(m.t, "rewrite")
}

func (m *model) pass(d time.Duration) {
	m.now += d
	if m.written > 0 && m.now >= m.written {
		m.stored, m.written = uint64(len(m.acked)-1), 0
	}
}

// deliver lets one of the messages pass, in any order, or loses it.
func (m *model) deliver() {
	if len(m.flights) == 0 {
		return
	}
	k := rapid.IntRange(0, len(m.flights)-1).Draw(m.t, "message")
	next := m.flights[k]
	m.flights = append(m.flights[:k:k], m.flights[k+1:]...)
	if rapid.IntRange(0, 9).Draw(m.t, "lost") > 0 {
		next()
	}
}

// check fails if an instance would run a statement, received now, whose key was withdrawn longer than the bound before.
func (m *model) check(bound time.Duration) {
	for k, n := range m.nodes {
		proof, proven := n.ledger.Usable(n.inForce)
		if !proven || proof.Age(m.clock(n)) >= NewLimits(bound).Serve || int(n.inForce) == len(m.acked)-1 {
			continue
		}
		if late := m.now - m.acked[n.inForce+1]; late > bound {
			m.t.Fatalf("instance %d has version %d in force %s after the acknowledgement of the next", k, n.inForce, late)
		}
	}
}

// TestNoWithdrawnKeyRuns guards against instances that serve withdrawn keys: whatever the order, loss and delay of messages, the
// suspensions of instances and restores of the store, none may accept a statement later than the bound after the acknowledgement.
func TestNoWithdrawnKeyRuns(t *testing.T) {
	const bound = 5 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		m := &model{t: t, acked: []time.Duration{0, 0}, stored: 1, era: 1}
		for range 4 {
			n := &node{offset: time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "offset")), inForce: 1}
			n.ledger = n.ledger.WithRead(Proof{1, m.clock(n)}, m.era, 1, m.clock(n))
			m.nodes = append(m.nodes, n)
		}
		for range 400 {
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				m.publish()
			case 1:
				m.restore()
			case 2, 3:
				m.askStore()
			case 4, 5:
				m.askPeer()
			default:
				m.deliver()
			}
			m.pass(time.Duration(rapid.SampledFrom([]int64{0, 1, 10, 300, 900, 3000}).Draw(t, "ms")) * time.Millisecond)
			m.check(bound)
		}
	})
}
