package member

import (
	"context"
	"sync"

	"siskincove/clock"
	"siskincove/peer"
	"siskincove/peer/wire"
)

// Announce sends a heartbeat to every peer that takes part in the placement and waits for the replies. extend, if not nil,
// adds further data to each heartbeat. The replies have no leads, which would be the same from all peers.
func (d *Driver) Announce(ctx context.Context, extend func(h *wire.Heartbeat)) {
	var wait sync.WaitGroup
	for _, i := range d.PlacedPeers() {
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

// contact exchanges heartbeats with whichever instance is at an address.
func (d *Driver) contact(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	sentAt := d.options.Clock.Now()
	request := d.heartbeat(nil)
	reply, err := peer.Call(ctx, d.options.Dialer, address, &wire.Frame{Body: &wire.Frame_Heartbeat{Heartbeat: request}})
	if err != nil || reply.GetHeartbeat() == nil {
		return
	}
	d.applyReply(request, reply.GetHeartbeat())
	d.notifyHeartbeat(reply.GetHeartbeat(), sentAt)
}
