package loan

import (
	"context"
	"net"
	"time"

	"github.com/apex/log"

	"siskincove/clock"
	"siskincove/config"
	"siskincove/connection"
	"siskincove/event"
	"siskincove/member"
	"siskincove/peer"
	"siskincove/peer/wire"
)

// maxHoldersAsked is how many holders are tried for one connection: an instance that reaches none of them is most likely cut
// off from the endpoint's failure domain.
const maxHoldersAsked = 2

// Dialer borrows connections to endpoints from other instances.
type Dialer struct {
	// Context bounds the lifetime of borrowed connections.
	Context context.Context
	// Self is the id of this instance.
	Self   string
	Clock  clock.Service
	Logger *event.Logger
	Peers  peer.Dialer
	// Holders returns the instances that may lend connections to an endpoint, in the order in which to ask them.
	Holders func(e config.Endpoint) []member.Instance
	// Health is shared by all dialers of an instance.
	Health *Health
	// Direct connects to an endpoint when none of its holders is reachable.
	Direct connection.Dialer
	// OnUnreachable is called with the address of a holder that could not be reached.
	OnUnreachable func(address string)
	// OnSilence is called after a holder did not answer an exchange in time.
	OnSilence func()
}

// Dial borrows a connection from the first reachable holder, and connects directly within connectTimeout if there is none.
func (d Dialer) Dial(ctx context.Context, target connection.Target, connectTimeout time.Duration) (connection.Conn, error) {
	e := target.Endpoint
	asked := 0
	for _, holder := range d.Holders(e) {
		if !d.Health.MayAsk(holder.Address, e.Name) {
			continue
		}
		if asked++; asked > maxHoldersAsked {
			break
		}
		stream, err := d.open(ctx, holder.Address)
		if err == nil {
			err = stream.Send(&wire.Frame{Body: &wire.Frame_Loan{Loan: &wire.Loan{
				Database: e.Database, Endpoint: e.Name, Incarnation: e.Incarnation, Workspace: target.Workspace, Borrower: d.Self,
			}}})
		}
		if err == nil {
			return d.newConn(stream, holder.Address, e.Name), nil
		}
		d.OnUnreachable(holder.Address)
		d.Logger.Log(event.HolderUnreachable, log.Fields{"endpoint": e.Name, "holder": holder.ID, "error": err.Error()})
		if ctx.Err() != nil {
			break
		}
	}
	return d.Direct.Dial(ctx, target, connectTimeout)
}

// open opens a stream whose lifetime is bounded by the dialer's Context; ctx bounds only the opening.
func (d Dialer) open(ctx context.Context, address string) (peer.Stream, error) {
	type openResult struct {
		stream peer.Stream
		err    error
	}
	result := make(chan openResult, 1)
	go func() {
		stream, err := d.Peers.Open(d.Context, address)
		result <- openResult{stream, err}
	}()
	select {
	case r := <-result:
		return r.stream, r.err
	case <-ctx.Done():
		go func() {
			if r := <-result; r.err == nil {
				_ = r.stream.Close()
			}
		}()
		return nil, ctx.Err()
	}
}

// DialOver opens a connection over link, without a holder, and verifies that link leads to the expected endpoint.
func (d Dialer) DialOver(ctx context.Context, target connection.Target, link net.Conn) (connection.Conn, error) {
	return d.Direct.DialOver(ctx, target, link)
}
