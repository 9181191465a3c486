package member

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"siskincove/clock"
	"siskincove/config"
	"siskincove/event"
	"siskincove/peer"
	"siskincove/peer/wire"
)

func (d *Driver) heartbeatLoop(ctx context.Context) {
	if d.options.Seeds != nil {
		d.awaitRoster(ctx)
	}
	for {
		d.contactSeeds(ctx)
		urgent := d.sendRound(ctx)
		pause := d.options.Period
		if urgent {
			pause = urgentPeriod
		}
		select {
		case <-ctx.Done():
			return
		case <-d.options.Clock.After(pause):
		case <-d.probeRequested:
			// Further requests that follow at once share the round.
			_ = clock.Wait(ctx, d.options.Clock, urgentPeriod)
		}
	}
}

// sendRound sends one period's heartbeats and reports whether some instance has to be probed urgently.
func (d *Driver) sendRound(ctx context.Context) bool {
	d.mu.Lock()
	targets := d.table.Targets(d.options.Clock.Now())
	partners := d.table.partners()
	d.mu.Unlock()
	var wait sync.WaitGroup
	for _, i := range targets {
		extend := withoutInterests
		if slices.ContainsFunc(partners, func(p Instance) bool { return p.ID == i.ID }) {
			extend = nil
		}
		wait.Go(func() { d.exchange(ctx, i, extend) })
	}
	wait.Wait()
	return d.endRound()
}

func (d *Driver) endRound() bool {
	d.mu.Lock()
	if d.rosterKnown || d.options.Clock.Now().Sub(d.started) > settleTimeout {
		d.settledPeriods++
	}
	settled := d.settledPeriods == settlePeriods
	urgent := len(d.table.urgent) > 0
	d.mu.Unlock()
	if settled {
		d.options.OnChange("")
	}
	return urgent
}

// exchange sends a heartbeat, extended by extend unless that is nil, and records the reply, or that none came. It returns the reply,
// nil if none came.
func (d *Driver) exchange(ctx context.Context, i Instance, extend func(h *wire.Heartbeat)) (answer *wire.Heartbeat) {
	defer d.options.Logger.Contain("heartbeat")
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	sentAt := d.options.Clock.Now()
	h := d.heartbeat(nil)
	if extend != nil {
		extend(h)
	}
	reply, err := peer.Call(ctx, d.options.Dialer, i.Address, &wire.Frame{Body: &wire.Frame_Heartbeat{Heartbeat: h}})
	if err == nil && reply.GetHeartbeat().GetId() == i.ID {
		d.applyReply(h, reply.GetHeartbeat())
		d.notifyHeartbeat(reply.GetHeartbeat(), sentAt)
		return reply.GetHeartbeat()
	}
	d.mu.Lock()
	changes := d.table.Missed(i.ID, d.options.Clock.Now())
	d.mu.Unlock()
	if d.options.OnMissed != nil {
		d.options.OnMissed(i.Address)
	}
	d.handleChanges(changes)
	return nil
}

func (d *Driver) notifyHeartbeat(h *wire.Heartbeat, sentAt time.Time) {
	if d.options.OnHeartbeat != nil {
		d.options.OnHeartbeat(h, sentAt)
	}
}

// heartbeat returns a heartbeat to send. request is the heartbeat that it answers, nil if it answers none. If the sender of
// the request does not know the other instances yet and rosterKnown is set, the reply names live instances.
func (d *Driver) heartbeat(request *wire.Heartbeat) *wire.Heartbeat {
	revision, _ := d.options.Revisions.Revision()
	out := d.ownHeartbeat(request)
	out.Revision = revision
	if d.options.ExtendHeartbeat != nil {
		d.options.ExtendHeartbeat(out, request)
	}
	return out
}

func (d *Driver) ownHeartbeat(request *wire.Heartbeat) *wire.Heartbeat {
	d.mu.Lock()
	defer d.mu.Unlock()
	self := d.table.Self()
	out := &wire.Heartbeat{
		Id: self.ID, Address: self.Address, Domain: self.Domain, Incarnation: self.Incarnation,
		Leaving: self.State == Leaving, Settled: d.rosterKnown,
	}
	var rumours []Rumour
	if request != nil && !request.GetSettled() && d.rosterKnown {
		rumours, out.Next = d.table.RumoursAfter(request.GetAfter())
	} else {
		rumours = d.table.NextRumours()
	}
	for _, r := range rumours {
		out.Rumours = append(out.Rumours, &wire.Rumour{
			Id: r.ID, Address: r.Address, Domain: r.Domain, Incarnation: r.Incarnation, State: uint32(r.State),
		})
	}
	return out
}

// Serve answers a peer's heartbeat; it returns false for frames of other kinds.
func (d *Driver) Serve(frame *wire.Frame, stream peer.Stream) bool {
	h := frame.GetHeartbeat()
	if h == nil {
		return false
	}
	received := d.options.Clock.Now()
	d.ApplyHeartbeat(h)
	d.notifyHeartbeat(h, time.Time{})
	_ = stream.Send(&wire.Frame{Body: &wire.Frame_Heartbeat{Heartbeat: d.heartbeat(h)}})
	d.recordAnswer(h, d.options.Clock.Now().Sub(received))
	return true
}

var answerTimes = metrics.NewHistogram("siskincove_heartbeat_answer_seconds")

// recordAnswer records how long it took to answer a peer's heartbeat.
func (d *Driver) recordAnswer(h *wire.Heartbeat, took time.Duration) {
	answerTimes.Update(took.Seconds())
	if took >= heartbeatTimeout {
		d.options.Logger.Log(event.HeartbeatLate, log.Fields{"instance": h.GetId(), "address": h.GetAddress(), "took": took.String()})
	}
}

// applyReply applies the reply to a heartbeat that this instance sent. A peer that knows the other instances names them in the
// replies to one that does not; the reply that names the last ones makes it know all.
func (d *Driver) applyReply(request, reply *wire.Heartbeat) {
	d.ApplyHeartbeat(reply)
	if request.GetSettled() || !reply.GetSettled() || reply.GetNext() != "" {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rosterKnown = true
}

// ApplyHeartbeat updates the table by a peer's heartbeat.
func (d *Driver) ApplyHeartbeat(h *wire.Heartbeat) {
	now := d.options.Clock.Now()
	from := Instance{ID: h.GetId(), Address: h.GetAddress(), Domain: h.GetDomain(), Incarnation: h.GetIncarnation()}
	rumours := make([]Rumour, 0, len(h.GetRumours()))
	for _, r := range h.GetRumours() {
		rumours = append(rumours, Rumour{
			ID: r.GetId(), Address: r.GetAddress(), Domain: r.GetDomain(), Incarnation: r.GetIncarnation(), State: State(r.GetState()),
		})
	}
	d.mu.Lock()
	changes := d.table.Answered(from, h.GetLeaving(), now)
	version := d.table.Version()
	d.table.ApplyRumours(rumours, now)
	added := d.table.Version() != version
	d.mu.Unlock()
	d.options.Revisions.RecordPeerRevision(h.GetRevision(), h.GetAddress())
	d.handleChanges(changes)
	if added {
		d.options.OnChange("")
	}
}

func (d *Driver) handleChanges(changes []Change) {
	regions := make(map[string]bool)
	for _, c := range changes {
		fields := log.Fields{"instance": c.Instance.ID, "address": c.Instance.Address, "before": c.Before.String()}
		switch {
		case c.Instance.State == c.Before:
		case c.Instance.State == Alive:
			if c.Before != Suspect {
				d.options.Logger.Log(event.MemberAlive, fields)
			}
		case c.Instance.State == Leaving:
			d.options.Logger.Log(event.MemberLeaving, fields)
		case c.Instance.State == Dead:
			d.options.Logger.Log(event.MemberDead, fields)
			d.options.OnDeath(c.Instance.Address)
		}
		if c.Moved {
			regions[config.Region(c.Instance.Domain)] = true
		}
	}
	for region := range regions {
		d.options.OnChange(region)
	}
}
