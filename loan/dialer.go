package loan

import (
	"context"
	"net"

	"github.com/apex/log"

	"siskincove/clock"
	"siskincove/config"
	"siskincove/connection"
	"siskincove/event"
	"siskincove/member"
	"siskincove/peer"
	"siskincove/peer/wire"
)

// Dialer borrows connections.
type Dialer struct {
	// Context ends the loans.
	Context context.Context
	Clock   clock.Service
	Logger  *event.Logger
	Peers   peer.Dialer
	// Holders returns who may lend connections to an endpoint, the one to be asked first before the others.
	Holders func(e config.Endpoint) []member.Instance
	// Direct connects to endpoints whose holders can't be reached.
	Direct connection.Dialer
	// Doubt is called with the address of a holder that can't be reached.
	Doubt func(address string)
}

// Dial borrows a connection from the first holder that can be reached.
func (d Dialer) Dial(ctx context.Context, e config.Endpoint) (connection.Conn, error) {
	for _, holder := range d.Holders(e) {
		stream, err := d.open(ctx, holder.Address)
		if err == nil {
			err = stream.Send(&wire.Frame{Body: &wire.Frame_Loan{Loan: &wire.Loan{
				Database: e.Database, Endpoint: e.Name, Incarnation: e.Incarnation,
			}}})
		}
		if err == nil {
			return newConn(stream, d.Clock), nil
		}
		d.Doubt(holder.Address)
		d.Logger.Log(event.HolderUnreachable, log.Fields{"endpoint": e.Name, "holder": holder.ID, "error": err.Error()})
		if ctx.Err() != nil {
			break
		}
	}
	return d.Direct.Dial(ctx, e)
}

// open opens a stream that lives as long as the dialer; ctx bounds only the wait for it.
func (d Dialer) open(ctx context.Context, address string) (peer.Stream, error) {
	type opened struct {
		stream peer.Stream
		err    error
	}
	result := make(chan opened, 1)
	go func() {
		stream, err := d.Peers.Open(d.Context, address)
		result <- opened{stream, err}
	}()
	select {
	case o := <-result:
		return o.stream, o.err
	case <-ctx.Done():
		go func() {
			if o := <-result; o.err == nil {
				_ = o.stream.Close()
			}
		}()
		return nil, ctx.Err()
	}
}

// DialOver makes sure that the endpoint at the end of a link is the one meant.
func (d Dialer) DialOver(ctx context.Context, e config.Endpoint, link net.Conn) (connection.Conn, error) {
	return d.Direct.DialOver(ctx, e, link)
}
