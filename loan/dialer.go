package loan

import (
	"context"
	"net"
	"time"

	"github.com/apex/log"

	"siskincove/clock"
	"siskincove/connection"
	"siskincove/event"
	"siskincove/member"
	"siskincove/peer"
	"siskincove/peer/wire"
	"siskincove/verdict"
)

// maxHoldersAsked is how many holders are tried for one connection: an instance that reaches none of them is most likely cut
// off from the endpoint's failure domain.
const maxHoldersAsked = 2

// holderOpenTimeout bounds the time to reach a holder where only holders connect, so that the next one can be asked: two round
// trips to a distant region.
const holderOpenTimeout = 200 * time.Millisecond

// Dialer borrows connections to endpoints from other instances.
type Dialer struct {
	// Context bounds the lifetime of borrowed connections.
	Context context.Context
	// Self is the id of this instance.
	Self   string
	Clock  clock.Service
	Logger *event.Logger
	Peers  peer.Dialer
	// Holders returns the instances that may lend connections for a target, in the order in which to ask them.
	Holders func(target connection.Target) []member.Instance
	// Health is shared by all dialers of an instance.
	Health *Health
	// Spread spreads workspaces with much load over several holders; nil if connections belong to no workspace.
	Spread *Spread
	// Direct connects to an endpoint when none of its holders is reachable; nil if nobody may connect beside the holders.
	Direct connection.Dialer
	// OnUnreachable is called with the address of a holder that could not be reached.
	OnUnreachable func(address string)
	// OnSilence is called after a holder did not answer an exchange in time.
	OnSilence func()
}

// Dial borrows a connection from the first reachable holder, and connects directly within connectTimeout if there is none.
func (d Dialer) Dial(ctx context.Context, target connection.Target, connectTimeout time.Duration) (connection.Conn, error) {
	for _, holder := range d.askable(target) {
		if conn, err := d.borrow(ctx, target, holder); err == nil {
			return conn, nil
		}
		if ctx.Err() != nil {
			break
		}
	}
	if d.Direct == nil {
		return nil, errNoHolder()
	}
	return d.Direct.Dial(ctx, target, connectTimeout)
}

// errNoHolder refuses a connection for which no holder could be reached. It says nothing about the endpoint.
func errNoHolder() error {
	return verdict.New(verdict.NotRun, verdict.Unreachable, "no holder of the endpoint's connections answers").WithCause(connection.ErrLender)
}

// askable returns the first holders that may be asked, at most maxHoldersAsked.
func (d Dialer) askable(target connection.Target) []member.Instance {
	var out []member.Instance
	for _, holder := range d.Spread.order(target, d.Holders(target)) {
		if len(out) < maxHoldersAsked && d.Health.MayAsk(holder.Address, target.Endpoint.Name) {
			out = append(out, holder)
		}
	}
	return out
}

// borrow requests a connection from a holder. The holder does not answer that; the first exchange shows whether it lends one.
func (d Dialer) borrow(ctx context.Context, target connection.Target, holder member.Instance) (connection.Conn, error) {
	e := target.Endpoint
	if d.Direct == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, holderOpenTimeout)
		defer cancel()
	}
	stream, err := d.open(ctx, holder.Address)
	if err == nil {
		err = stream.Send(&wire.Frame{Body: &wire.Frame_Loan{Loan: &wire.Loan{
			Database: e.Database, Endpoint: e.Name, Incarnation: e.Incarnation, Workspace: target.Workspace, Borrower: d.Self,
		}}})
	}
	if err != nil {
		if d.Direct == nil {
			d.Health.recordUnreachable(holder.Address, e.Name)
		}
		d.OnUnreachable(holder.Address)
		d.Logger.Log(event.HolderUnreachable, log.Fields{"endpoint": e.Name, "holder": holder.ID, "error": err.Error()})
		return nil, err
	}
	return d.newConn(stream, holder.Address, target), nil
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
	if d.Direct == nil {
		_ = link.Close()
		return nil, errNoHolder()
	}
	return d.Direct.DialOver(ctx, target, link)
}
