package hosted

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"siskincove/config"
	"siskincove/member"
	"siskincove/peer"
	"siskincove/peer/wire"
	"siskincove/verdict"
)

const (
	// maxDetourHelpers is how many instances are asked at once for one detour: some may be cut off by the same network
	// partition.
	maxDetourHelpers = 3
	// relayDialTimeout bounds the connection attempt to an endpoint on behalf of another instance.
	relayDialTimeout = 250 * time.Millisecond
)

// detour returns a connection to an endpoint through another instance, preferably one in the endpoint's failure domain.
// It asks several instances at once and returns the first connection that is made.
func (i *Instance) detour(ctx context.Context, e config.Endpoint) (net.Conn, error) {
	helpers := i.detourHelpers(e)
	links := make(chan net.Conn, len(helpers))
	for _, other := range helpers {
		go func() {
			link, err := i.detourThrough(ctx, e, other)
			if err != nil {
				link = nil
			}
			links <- link
		}()
	}
	for received := range helpers {
		select {
		case link := <-links:
			if link != nil {
				go closeRemaining(links, len(helpers)-received-1)
				return link, nil
			}
		case <-ctx.Done():
			go closeRemaining(links, len(helpers)-received)
			return nil, ctx.Err()
		}
	}
	return nil, verdict.New(verdict.NotRun, verdict.Unreachable, "no other instance reaches the endpoint")
}

// closeRemaining closes the connections of the next n attempts, which are no longer needed. It returns after the last attempt
// has ended; the attempts are bounded by the deadline of their context.
func closeRemaining(links <-chan net.Conn, n int) {
	for range n {
		if link := <-links; link != nil {
			_ = link.Close()
		}
	}
}

// detourHelpers returns up to maxDetourHelpers live instances in random order, those in the endpoint's failure domain
// first.
func (i *Instance) detourHelpers(e config.Endpoint) []member.Instance {
	var local, remote []member.Instance
	for _, other := range i.members.PlacedPeers() {
		switch {
		case other.State == member.Suspect:
		case other.Domain == e.Domain:
			local = append(local, other)
		default:
			remote = append(remote, other)
		}
	}
	shuffle := func(all []member.Instance) {
		rand.Shuffle(len(all), func(a, b int) { all[a], all[b] = all[b], all[a] })
	}
	shuffle(local)
	shuffle(remote)
	all := append(local, remote...)
	return all[:min(len(all), maxDetourHelpers)]
}

// detourThrough opens a detour through one instance. ctx bounds only the set-up; the stream outlives it.
func (i *Instance) detourThrough(ctx context.Context, e config.Endpoint, other member.Instance) (net.Conn, error) {
	stream, err := i.node.Open(i.ctx, other.Address)
	if err != nil {
		i.members.ProbeSoon(other.Address)
		return nil, err
	}
	link := peer.NewStreamConn(stream, other.Address)
	if deadline, ok := ctx.Deadline(); ok {
		_ = link.SetDeadline(deadline)
	}
	err = stream.Send(&wire.Frame{Body: &wire.Frame_Detour{Detour: &wire.Detour{Endpoint: e.Name, Database: e.Database}}})
	if err == nil {
		var frame *wire.Frame
		frame, err = stream.Receive()
		if err == nil && frame.GetChunk() == nil {
			err = errors.New("peer refused the detour")
		}
	}
	if err != nil {
		_ = link.Close()
		return nil, errors.Wrapf(err, "detour through %s", other.ID)
	}
	return link, link.SetDeadline(time.Time{})
}

// relay connects to the requested endpoint and copies data between it and the peer. It answers with an empty chunk once
// connected, and ends the stream without an answer if it does not know or can't reach the endpoint, or could not recently.
func (i *Instance) relay(ctx context.Context, request *wire.Detour, stream peer.Stream) {
	d, ok := i.databases.Get(request.GetDatabase())
	if !ok {
		return
	}
	pool, ok := d.Held(request.GetEndpoint())
	if !ok {
		pool, ok = d.Pool(request.GetEndpoint())
	}
	if !ok || !pool.ReachableDirectly() {
		return
	}
	dialer := net.Dialer{Timeout: min(relayDialTimeout, pool.ConnectTimeout())}
	conn, err := dialer.DialContext(ctx, "tcp", pool.Endpoint().Address)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	if stream.Send(&wire.Frame{Body: &wire.Frame_Chunk{Chunk: &wire.Chunk{}}}) != nil {
		return
	}
	peer.Relay(stream, conn)
}
