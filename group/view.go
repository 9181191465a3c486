package group

import (
	"slices"
	"time"

	"siskincove/endpoint"
	"siskincove/session"
)

// Lead is an endpoint that provably led when At was taken; Claimed tells that only the endpoint itself says so.
type Lead struct {
	Endpoint string
	At       time.Time
	Claimed  bool
}

// View is what an instance has seen of a group; it is an immutable value.
type View struct {
	lead    Lead
	claim   string
	members []member
	history session.History
}

// certificatePause is the least time between two certificates that are kept, so that the history spans the longest
// allowance of some seconds.
const certificatePause = 25 * time.Millisecond

func (v View) member(name string) member {
	for _, m := range v.members {
		if m.name == name {
			return m
		}
	}
	return member{name: name, latency: firstLatency}
}

func (v View) with(next member) View {
	out := slices.Clone(v.members)
	for i, m := range out {
		if m.name == next.name {
			out[i] = next
			v.members = out
			return v
		}
	}
	v.members = append(out, next)
	return v
}

// Lead returns the endpoint that leads, and false when none is known to.
func (v View) Lead() (Lead, bool) { return v.lead, v.lead.Endpoint != "" }

// ProvenAt returns when an endpoint last proved that it leads, zero if none has.
func (v View) ProvenAt() time.Time {
	newest, _ := v.history.Newest()
	if !v.lead.Claimed && v.lead.At.After(newest.At) {
		return v.lead.At
	}
	return newest.At
}

// Certificate returns the newest certificate, and false when there is none.
func (v View) Certificate() (session.FreshnessCertificate, bool) { return v.history.Newest() }

// WithLead returns the view after an endpoint proved its lead at a time and told its log's position, which is zero when
// unknown; proofs older than what is known are ignored.
func (v View) WithLead(name string, position endpoint.Position, at time.Time) View {
	if v.member(name).deniedAt.After(at) {
		return v
	}
	if v.lead.Endpoint == "" || v.lead.Endpoint == name && v.lead.Claimed || !at.Before(v.lead.At) {
		v.lead = Lead{Endpoint: name, At: at}
	}
	return v.WithCertificate(session.FreshnessCertificate{Position: position, At: at})
}

// WithCertificate returns the view after a certificate became known, from here or from a peer.
func (v View) WithCertificate(c session.FreshnessCertificate) View {
	newest, ok := v.history.Newest()
	if c.Position == (endpoint.Position{}) || ok && c.At.Sub(newest.At) < certificatePause {
		return v
	}
	v.history = v.history.With(c)
	return v
}

// WithClaim returns the view after an endpoint was registered as primary; a proof of another's lead goes before an
// unchanged claim.
func (v View) WithClaim(name string, now time.Time) View {
	if v.claim == name {
		return v
	}
	v.claim = name
	if name == "" || v.lead.Endpoint == name {
		return v
	}
	v.lead = Lead{Endpoint: name, At: now, Claimed: true}
	return v
}

// WithHint returns the view after a peer told that an endpoint led at about a time, which is not exact enough for a
// proof.
func (v View) WithHint(name string, at time.Time) View {
	if v.lead.Endpoint == name || v.member(name).deniedAt.After(at) || v.lead.Endpoint != "" && !at.After(v.lead.At) {
		return v
	}
	v.lead = Lead{Endpoint: name, At: at, Claimed: true}
	return v
}

// WithDenial returns the view after an endpoint refused a statement, sent at a time, because it does not lead.
func (v View) WithDenial(name string, sent, now time.Time) View {
	m := v.member(name)
	m.deniedAt = now
	v = v.with(m)
	if v.lead.Endpoint == name && !v.lead.At.After(sent) {
		v.lead = Lead{}
	}
	return v
}

// WithServed returns the view after an endpoint served a statement in the given time and told its position.
func (v View) WithServed(name string, position endpoint.Position, took time.Duration, now time.Time) View {
	m := v.member(name).withBusy(0, now).withLatency(took)
	m.applied = position
	m.avoidUntil, m.behindUntil, m.behindPause = time.Time{}, time.Time{}, 0
	return v.with(m)
}

// WithBusy returns the view after an endpoint had no free slot.
func (v View) WithBusy(name string, now time.Time) View {
	return v.with(v.member(name).withBusy(1, now))
}

// WithBehind returns the view after an endpoint's log lacked a position; it told how far it is.
func (v View) WithBehind(name string, lacked, applied endpoint.Position, now time.Time) View {
	m := v.member(name)
	m.applied = applied
	m.behind = lacked
	m.behindPause = min(max(2*m.behindPause, behindPause), behindPauseMaximum)
	m.behindUntil = now.Add(m.behindPause)
	return v.with(m)
}

// WithAvoid returns the view after an endpoint failed; until then it is tried only if no other is left.
func (v View) WithAvoid(name string, until time.Time) View {
	m := v.member(name)
	m.avoidUntil = until
	return v.with(m)
}

// Without returns the view after an endpoint left or was started anew.
func (v View) Without(name string) View {
	v.members = slices.DeleteFunc(slices.Clone(v.members), func(m member) bool { return m.name == name })
	if v.lead.Endpoint == name {
		v.lead = Lead{}
	}
	if v.claim == name {
		v.claim = ""
	}
	return v
}
