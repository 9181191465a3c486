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
	// phaseTimeout bounds each phase of a ballot.
	phaseTimeout = 2 * time.Second
	// commandRetryInterval is the pause before a command that has not taken effect is sent again.
	commandRetryInterval = 50 * time.Millisecond
	replyBuffer          = 16
)

// ballotRun drives one ballot.
type ballotRun struct {
	coordinator *Coordinator
	members     []config.Endpoint
	ballot      Ballot
	senders     sync.WaitGroup
}

// runToEnd sends the ballot's commands and applies the replies until the ballot or ctx ends.
func (r *ballotRun) runToEnd(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer r.senders.Wait()
	defer cancel()
	replies := make(chan Reply, replyBuffer)
	r.log(event.BallotStarted)
	r.start(ctx, r.ballot.Start(), replies)
	timeout := r.coordinator.options.Clock.After(phaseTimeout)
	for r.ballot.Phase() < Done {
		before := r.ballot.Phase()
		select {
		case <-ctx.Done():
			return
		case reply := <-replies:
			r.apply(ctx, reply, replies)
		case <-timeout:
			r.apply(ctx, Timeout{}, replies)
		}
		if r.ballot.Phase() != before {
			timeout = r.coordinator.options.Clock.After(phaseTimeout)
		}
	}
	r.logOutcome()
}

func (r *ballotRun) apply(ctx context.Context, e Event, replies chan Reply) {
	before := r.ballot.Phase()
	next, actions := r.ballot.Apply(e)
	r.ballot = next
	if before != Promoting && next.Phase() == Promoting {
		r.log(event.BallotPromoting)
	}
	r.start(ctx, actions, replies)
}

func (r *ballotRun) logOutcome() {
	if r.ballot.Phase() == Done {
		r.log(event.BallotDone)
		return
	}
	r.log(event.BallotFailed)
}

func (r *ballotRun) log(e event.Event) {
	r.coordinator.options.Logger.Log(e, log.Fields{
		"database": r.coordinator.database, "term": uint64(r.ballot.Term()), "leader": r.ballot.Primary(), "phase": r.ballot.Phase().String(),
	})
}

func (r *ballotRun) start(ctx context.Context, actions []Action, replies chan<- Reply) {
	for _, a := range actions {
		e, ok := findMember(r.members, a.Endpoint)
		if ok {
			cmd := command{action: a, term: r.ballot.Term()}
			r.senders.Go(func() { r.sendUntilSettled(ctx, e, cmd, replies) })
		}
	}
}

// sendUntilSettled sends a command until the endpoint's status settles it or ctx ends. After an error it asks for the
// endpoint's status, since the command may have taken effect although its answer was lost.
func (r *ballotRun) sendUntilSettled(ctx context.Context, e config.Endpoint, cmd command, replies chan<- Reply) {
	primary, _ := findMember(r.members, cmd.action.Primary)
	owners := r.coordinator.options.Owners
	for ctx.Err() == nil {
		report, err := owners.Command(ctx, e, cmd.action.Command, cmd.term, primary.Address)
		if err != nil {
			report, err = owners.RequestStatus(ctx, e, pool.StatusRequest{Fresh: true})
		}
		if err == nil && report.UnresponsiveFor == 0 {
			select {
			case replies <- Reply{Endpoint: e.Name, Status: report.Status}:
			case <-ctx.Done():
			}
			if cmd.settledBy(report.Status) {
				return
			}
		}
		select {
		case <-ctx.Done():
		case <-r.coordinator.options.Clock.After(commandRetryInterval):
		}
	}
}

// command is an action with the ballot's term.
type command struct {
	action Action
	term   endpoint.FencedTerm
}

// settledBy reports whether a status shows that the command has taken effect or never can.
func (c command) settledBy(status endpoint.Status) bool {
	switch {
	case status.Fenced > c.term:
		return true
	case c.action.Command == pool.CommandPromote:
		return status.Leads() && status.Fenced == c.term
	default:
		return status.Fenced == c.term
	}
}
