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
	// detourTries is how many instances are asked at once for one detour: some may be behind the same cut.
	detourTries = 3
	// relayDialTimeout bounds the connection that an instance makes for another.
	relayDialTimeout = 250 * time.Millisecond
)

// detour returns a link to an endpoint by way of another instance, if possible one in the endpoint's failure domain.
func (i *Instance) detour(ctx context.Context, e config.Endpoint) (net.Conn, error) {
	helpers := i.helpers(e)
	links := make(chan net.Conn, len(helpers))
	for _, other := range helpers {
		go func() {
			link, err := i.detourBy(ctx, e, other)
			if err != nil {
				link = nil
			}
			links <- link
		}()
	}
	for asked := range helpers {
		select {
		case link := <-links:
			if link != nil {
				go closeRest(links, len(helpers)-asked-1)
				return link, nil
			}
		case <-ctx.Done():
			go closeRest(links, len(helpers)-asked)
			return nil, ctx.Err()
		}
	}
	return nil, verdict.New(verdict.NotRun, verdict.Unreachable, "no other instance reaches the endpoint")
}

// closeRest closes the detours that came too late; it ends with the last of them, which their deadline bounds.
func closeRest(links <-chan net.Conn, n int) {
	for range n {
		if link := <-links; link != nil {
			_ = link.Close()
		}
	}
}

// helpers returns some living instances, those in the endpoint's failure domain first.
func (i *Instance) helpers(e config.Endpoint) []member.Instance {
	var near, far []member.Instance
	for _, other := range i.members.Instances() {
		switch {
		case other.State != member.Alive:
		case other.Domain == e.Domain:
			near = append(near, other)
		default:
			far = append(far, other)
		}
	}
	shuffle := func(all []member.Instance) {
		rand.Shuffle(len(all), func(a, b int) { all[a], all[b] = all[b], all[a] })
	}
	shuffle(near)
	shuffle(far)
	all := append(near, far...)
	return all[:min(len(all), detourTries)]
}

// detourBy opens a detour by one instance; the stream outlives the context, which bounds only its making.
func (i *Instance) detourBy(ctx context.Context, e config.Endpoint, other member.Instance) (net.Conn, error) {
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
			err = errors.New("peer makes no detour")
		}
	}
	if err != nil {
		_ = link.Close()
		return nil, errors.Wrapf(err, "detour by %s", other.ID)
	}
	return link, link.SetDeadline(time.Time{})
}

// relay connects a peer to an endpoint that this instance knows.
func (i *Instance) relay(ctx context.Context, asked *wire.Detour, stream peer.Stream) {
	d, ok := i.databases.Get(asked.GetDatabase())
	if !ok {
		return
	}
	pool, ok := d.Pool(asked.GetEndpoint())
	if !ok {
		return
	}
	dialer := net.Dialer{Timeout: relayDialTimeout}
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
