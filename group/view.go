package group

import (
	"slices"
	"time"

	"siskincove/endpoint"
	"siskincove/session"
)

// Lead is the endpoint known to lead its group, that is, to be the primary. At is the time to which its proof applies. If
// Claimed is set, there is no proof, only a registration (a claim) or a peer's report (a hint) of that time.
type Lead struct {
	Endpoint string
	At       time.Time
	Claimed  bool
	// Term is the term of the last record in the endpoint's log at the proof, 0 if that is not known. The endpoint leads this term or
	// a newer one.
	Term endpoint.LogTerm
}

// View is what an instance has observed of a group. It is an immutable value.
type View struct {
	lead Lead
	// claim is the endpoint registered as primary.
	claim        string
	observations []observation
	history      session.History
	promotions   []Promotion
	// acknowledgements are those that no other one with a position as high followed, the highest position first.
	acknowledgements []Acknowledgement
}

// minCertificateInterval is the least time between two certificates kept, so that the history, which is bounded in length,
// spans the longest staleness allowance, a few seconds.
const minCertificateInterval = 25 * time.Millisecond

func (v View) observation(name string) observation {
	for _, o := range v.observations {
		if o.name == name {
			return o
		}
	}
	return observation{name: name, latency: initialLatency}
}

func (v View) with(next observation) View {
	out := slices.Clone(v.observations)
	for i, o := range out {
		if o.name == next.name {
			out[i] = next
			v.observations = out
			return v
		}
	}
	v.observations = append(out, next)
	return v
}

// Lead returns the endpoint that leads, and false if none is known.
func (v View) Lead() (Lead, bool) { return v.lead, v.lead.Endpoint != "" }

// ProvenAt returns when an endpoint last proved that it leads, zero if none has.
func (v View) ProvenAt() time.Time {
	newest, _ := v.history.Newest()
	if !v.lead.Claimed && v.lead.At.After(newest.At) {
		return v.lead.At
	}
	return newest.At
}

// Certificate returns the newest freshness certificate, and false if there is none.
func (v View) Certificate() (session.FreshnessCertificate, bool) { return v.history.Newest() }

// WithLead returns the view after an endpoint proved its lead as of a time and reported its log position, zero if
// unknown. A proof older than the known lead, or than the endpoint's report that it does not lead, does not change the
// lead.
func (v View) WithLead(name string, position endpoint.Position, at time.Time) View {
	if v.observation(name).notPrimaryAt.After(at) {
		return v
	}
	if v.lead.Endpoint == "" || v.lead.Endpoint == name && v.lead.Claimed || !at.Before(v.lead.At) {
		v.lead = Lead{Endpoint: name, At: at, Term: position.Term}
	}
	return v.WithCertificate(session.FreshnessCertificate{Position: position, At: at})
}

// WithCertificate returns the view with a freshness certificate from this instance or a peer added, unless it has no
// position or is less than minCertificateInterval newer than the newest.
func (v View) WithCertificate(c session.FreshnessCertificate) View {
	newest, ok := v.history.Newest()
	if c.Position == (endpoint.Position{}) || ok && c.At.Sub(newest.At) < minCertificateInterval {
		return v
	}
	v.history = v.history.With(c)
	return v
}

// WithClaim returns the view after an endpoint was registered as primary. Registering the same endpoint again does not
// override another's proven lead.
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

// WithHint returns the view after a peer reported that an endpoint led at an approximate time, which is not exact
// enough for a proof. Hints older than the known lead are ignored.
func (v View) WithHint(name string, at time.Time) View {
	if v.lead.Endpoint == name || v.observation(name).notPrimaryAt.After(at) || v.lead.Endpoint != "" && !at.After(v.lead.At) {
		return v
	}
	v.lead = Lead{Endpoint: name, At: at, Claimed: true}
	return v
}

// WithNotPrimary returns the view after an endpoint refused a statement, sent at the given time, because it does not lead.
func (v View) WithNotPrimary(name string, sent, now time.Time) View {
	o := v.observation(name)
	o.notPrimaryAt = now
	v = v.with(o)
	if v.lead.Endpoint == name && !v.lead.At.After(sent) {
		v.lead = Lead{}
	}
	return v
}

// WithServed returns the view after an endpoint served a statement within the given duration and reported its log
// position.
func (v View) WithServed(name string, position endpoint.Position, took time.Duration, now time.Time) View {
	o := v.observation(name).withBusy(0, now).withLatency(took)
	o.applied = position
	o.avoidUntil, o.behindUntil, o.behindPause = time.Time{}, time.Time{}, 0
	return v.with(o)
}

// WithBusy returns the view after an endpoint had no free slot.
func (v View) WithBusy(name string, now time.Time) View {
	return v.with(v.observation(name).withBusy(1, now))
}

// WithBehind returns the view after an endpoint lacked a log position and reported the one it has applied.
func (v View) WithBehind(name string, lacked, applied endpoint.Position, now time.Time) View {
	o := v.observation(name)
	o.applied = applied
	o.behind = lacked
	o.behindPause = min(max(2*o.behindPause, initialBehindPause), maxBehindPause)
	o.behindUntil = now.Add(o.behindPause)
	return v.with(o)
}

// WithAvoid returns the view after an endpoint failed. Until the given time, it is ranked last for reads and not chosen
// for statements that need the primary.
func (v View) WithAvoid(name string, until time.Time) View {
	o := v.observation(name)
	o.avoidUntil = until
	return v.with(o)
}

// Without returns the view after an endpoint left or was restarted.
func (v View) Without(name string) View {
	v.observations = slices.DeleteFunc(slices.Clone(v.observations), func(o observation) bool { return o.name == name })
	if v.lead.Endpoint == name {
		v.lead = Lead{}
	}
	if v.claim == name {
		v.claim = ""
	}
	return v
}
