package member

import (
	"context"
	"sync"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"siskincove/clock"
	"siskincove/event"
	"siskincove/peer"
	"siskincove/peer/wire"
)

// Announce sends a heartbeat to every peer that serves, also to those that are leaving, and waits for the replies. extend, if not nil,
// adds further data to each heartbeat. The replies have no leads, which would be the same from all peers.
func (d *Driver) Announce(ctx context.Context, extend func(h *wire.Heartbeat)) {
	var wait sync.WaitGroup
	for _, i := range d.servingPeers() {
		wait.Go(func() {
			d.exchange(ctx, i, func(h *wire.Heartbeat) {
				withoutInterests(h)
				if extend != nil {
					extend(h)
				}
			})
		})
	}
	wait.Wait()
}

// Ask sends a heartbeat with further data to the instance with an ID and returns the reply, nil if none came.
func (d *Driver) Ask(ctx context.Context, id string, extend func(h *wire.Heartbeat)) *wire.Heartbeat {
	d.mu.Lock()
	asked, known := d.table.instances[id]
	d.mu.Unlock()
	if !known {
		return nil
	}
	return d.exchange(ctx, asked, func(h *wire.Heartbeat) {
		withoutInterests(h)
		extend(h)
	})
}

// withoutInterests makes a heartbeat ask for no leads in the reply. Leads come from partners.
func withoutInterests(h *wire.Heartbeat) { h.Interests = nil }

// Push requests a heartbeat to the partners without waiting for the next round, to spread something new. It does not wait
// for the heartbeats.
func (d *Driver) Push() {
	select {
	case d.pushRequested <- struct{}{}:
	default:
	}
}

// pushLoop sends the heartbeats that Push requests. Requests in quick succession share them.
func (d *Driver) pushLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.pushRequested:
		}
		d.mu.Lock()
		partners := d.table.pushTargets()
		d.mu.Unlock()
		var wait sync.WaitGroup
		for _, i := range partners {
			wait.Go(func() { d.exchange(ctx, i, nil) })
		}
		wait.Wait()
		if clock.Wait(ctx, d.options.Clock, pushPause) != nil {
			return
		}
	}
}

// awaitRoster waits for the first answer about the roster, for up to seedDelay. If the roster is known, no peer has to send all
// instances.
func (d *Driver) awaitRoster(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-d.rosterAnswered:
	case <-d.options.Clock.After(seedDelay):
	}
}

// contactSeeds sends heartbeats to the seeds until rosterKnown is set.
func (d *Driver) contactSeeds(ctx context.Context) {
	d.mu.Lock()
	rosterKnown := d.rosterKnown
	d.mu.Unlock()
	if rosterKnown || d.options.Seeds == nil {
		return
	}
	var wait sync.WaitGroup
	for _, address := range d.options.Seeds() {
		if address != d.options.Self.Address {
			wait.Go(func() { d.contact(ctx, address) })
		}
	}
	wait.Wait()
}

// contact exchanges heartbeats with whichever instance is at an address until that has named all instances that it knows.
func (d *Driver) contact(ctx context.Context, address string) {
	for after := ""; ; {
		reply, err := d.contactOnce(ctx, address, after)
		if err != nil {
			d.options.Logger.Log(event.PeerRefused, log.Fields{"address": address, "error": err.Error()})
			return
		}
		if after = reply.GetNext(); after == "" {
			return
		}
	}
}

// contactOnce sends a heartbeat to an address and applies the reply, which may name the instances whose IDs follow after.
func (d *Driver) contactOnce(ctx context.Context, address, after string) (*wire.Heartbeat, error) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	sentAt := d.options.Clock.Now()
	request := d.heartbeat(nil)
	request.After = after
	reply, err := peer.Call(ctx, d.options.Dialer, address, &wire.Frame{Body: &wire.Frame_Heartbeat{Heartbeat: request}})
	if err != nil {
		return nil, err
	}
	h := reply.GetHeartbeat()
	if h == nil {
		return nil, errors.New("reply is not a heartbeat")
	}
	if next := h.GetNext(); next != "" && next <= after {
		return nil, errors.Newf("instances after %q are named again after %q", after, next)
	}
	d.applyReply(request, h)
	d.notifyHeartbeat(h, sentAt)
	return h, nil
}
