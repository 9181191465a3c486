package failover

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"siskincove/config"
	"siskincove/endpoint"
	"siskincove/event"
	"siskincove/pool"
)

const (
	// phaseLimit bounds each phase of a ballot.
	phaseLimit = 2 * time.Second
	// orderRetry is the pause before an order without an answer is given again.
	orderRetry = 50 * time.Millisecond
	replyQueue = 16
)

// run drives one ballot.
type run struct {
	coordinator *Coordinator
	members     []config.Endpoint
	ballot      Ballot
	running     sync.WaitGroup
}

// conduct gives the ballot's orders and feeds it the replies until it ends.
func (r *run) conduct(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer r.running.Wait()
	defer cancel()
	replies := make(chan Reply, replyQueue)
	r.log(event.BallotStarted)
	r.give(ctx, r.ballot.Start(), replies)
	limit := r.coordinator.options.Clock.After(phaseLimit)
	for r.ballot.Phase() < Done {
		before := r.ballot.Phase()
		select {
		case <-ctx.Done():
			return
		case reply := <-replies:
			r.take(ctx, reply, replies)
		case <-limit:
			r.take(ctx, Timeout{}, replies)
		}
		if r.ballot.Phase() != before {
			limit = r.coordinator.options.Clock.After(phaseLimit)
		}
	}
	r.conclude()
}

func (r *run) take(ctx context.Context, e Event, replies chan Reply) {
	before := r.ballot.Phase()
	next, actions := r.ballot.Apply(e)
	r.ballot = next
	if before != Promoting && next.Phase() == Promoting {
		r.log(event.BallotPromoting)
	}
	r.give(ctx, actions, replies)
}

func (r *run) conclude() {
	if r.ballot.Phase() == Done {
		r.log(event.BallotDone)
		return
	}
	r.log(event.BallotFailed)
}

func (r *run) log(e event.Event) {
	r.coordinator.options.Logger.Log(e, log.Fields{
		"database": r.coordinator.database, "term": uint64(r.ballot.Term()), "leader": r.ballot.Leader(), "phase": r.ballot.Phase().String(),
	})
}

func (r *run) give(ctx context.Context, actions []Action, replies chan<- Reply) {
	for _, a := range actions {
		e, ok := find(r.members, a.Endpoint)
		if ok {
			o := order{action: a, term: r.ballot.Term()}
			r.running.Go(func() { r.repeat(ctx, e, o, replies) })
		}
	}
}

// repeat gives an order until the endpoint has answered it or the ballot is over; after a failure the endpoint's
// status is asked, which settles an answer that got lost.
func (r *run) repeat(ctx context.Context, e config.Endpoint, o order, replies chan<- Reply) {
	leader, _ := find(r.members, o.action.Leader)
	owners := r.coordinator.options.Owners
	for ctx.Err() == nil {
		report, err := owners.Command(ctx, e, o.action.Order, o.term, leader.Address)
		if err != nil {
			report, err = owners.Ask(ctx, e, pool.Question{Fresh: true})
		}
		if err == nil && report.Silence == 0 {
			select {
			case replies <- Reply{Endpoint: e.Name, Status: report.Status}:
			case <-ctx.Done():
			}
			if o.obeyed(report.Status) {
				return
			}
		}
		select {
		case <-ctx.Done():
		case <-r.coordinator.options.Clock.After(orderRetry):
		}
	}
}

// order is an action under the ballot's term.
type order struct {
	action Action
	term   endpoint.FencedTerm
}

// obeyed reports whether the status shows that the order took effect, or never can.
func (o order) obeyed(status endpoint.Status) bool {
	switch {
	case status.Fenced > o.term:
		return true
	case o.action.Order == pool.OrderPromote:
		return status.Leads() && status.Fenced == o.term
	default:
		return status.Fenced == o.term
	}
}
