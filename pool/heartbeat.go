package pool

import (
	"context"
	"time"

	"github.com/apex/log"

	"siskincove/endpoint"
	"siskincove/event"
)

const (
	// questionTimeout bounds one status question.
	questionTimeout = 400 * time.Millisecond
	// reachPause is the least time between two questions while somebody waits for a position.
	reachPause = time.Millisecond
)

// heartbeat asks the endpoint's status at the interval of the options.
func (p *Pool) heartbeat() {
	for {
		if _, err := p.ask(p.ctx); err != nil && p.known().status.Leads() {
			p.checkSuperseded()
		}
		select {
		case <-p.ctx.Done():
			return
		case <-p.clock.After(p.settings().Interval):
		}
	}
}

// ask returns a status that was read after the call; callers that wait at the same time share one question.
func (p *Pool) ask(ctx context.Context) (endpoint.Status, error) {
	return p.asking.Do(ctx, p.ctx, p.question)
}

func (p *Pool) question(ctx context.Context) (endpoint.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, questionTimeout)
	defer cancel()
	vendor := p.settings().Vendor
	asked := p.now()
	questions.Inc()
	status, err := p.probe.status.use(ctx, p.dialer, func(q endpoint.Querier) (endpoint.Status, error) {
		return vendor.Status(ctx, q)
	})
	p.learn(status, err, asked)
	return status, err
}

// learn records the outcome of a status question that was asked at a time.
func (p *Pool) learn(status endpoint.Status, err error, asked time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	if err != nil {
		if p.answered {
			p.silentFrom = asked
			p.logger.Log(event.EndpointSilent, log.Fields{"endpoint": p.name, "error": err.Error()})
		}
		p.answered = false
		return
	}
	before := p.status
	p.status, p.statusAt, p.answered = status, now, true
	if before.Role != status.Role || before.Fenced != status.Fenced {
		p.reportRole(before, status)
	}
	if status.Leads() && before.Log.Term != status.Log.Term {
		p.running.Go(p.establish)
	}
}

func (p *Pool) reportRole(before, status endpoint.Status) {
	p.logger.Log(event.RoleChanged, log.Fields{
		"endpoint": p.name, "before": before.Role.String(), "role": status.Role.String(),
		"term": uint64(status.Fenced), "log": status.Log.String(),
	})
}

// checkSuperseded asks the other members whether a primary that has fallen silent was replaced meanwhile.
func (p *Pool) checkSuperseded() {
	ctx, cancel := context.WithTimeout(p.ctx, certifyTimeout)
	defer cancel()
	p.askOthers(ctx)
}

// reach asks until the log covers a position or the endpoint has promised a higher term, and returns the last status read.
func (p *Pool) reach(ctx context.Context, position endpoint.Position) (endpoint.Status, error) {
	return p.until(ctx, func(s endpoint.Status) bool {
		if p.markable(s, position) {
			s = p.mark(ctx, position)
		}
		return s.Log.Covers(position) || uint64(s.Fenced) > uint64(position.Term)
	})
}

// markable reports whether the endpoint has received a position of the primary that it follows, but does not know the
// term of that record yet.
func (p *Pool) markable(s endpoint.Status, position endpoint.Position) bool {
	_, marks := p.settings().Vendor.(endpoint.LogTermRecorder)
	follows := s.Receiving && uint64(s.Fenced) == uint64(position.Term)
	return marks && follows && s.Log.Term < position.Term && s.Log.Offset >= position.Offset
}

// mark makes the endpoint remember the term that its log has come to, once for each term.
func (p *Pool) mark(ctx context.Context, position endpoint.Position) endpoint.Status {
	vendor, _ := p.settings().Vendor.(endpoint.LogTermRecorder)
	asked := p.now()
	status, err := p.probe.orders.use(ctx, p.dialer, func(q endpoint.Querier) (endpoint.Status, error) {
		return vendor.RecordLogTerm(ctx, q, position)
	})
	if err == nil {
		p.learn(status, nil, asked)
	}
	return status
}

// until asks until enough holds, at most as long as ctx lasts.
func (p *Pool) until(ctx context.Context, enough func(endpoint.Status) bool) (endpoint.Status, error) {
	for {
		status, err := p.ask(ctx)
		if err != nil || enough(status) {
			return status, err
		}
		select {
		case <-ctx.Done():
			return status, nil
		case <-p.clock.After(reachPause):
		}
	}
}

// known is what the pool knows of its endpoint without asking.
type known struct {
	status  endpoint.Status
	age     time.Duration
	silence time.Duration
}

func (p *Pool) known() known {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	k := known{status: p.status, age: now.Sub(p.statusAt)}
	if !p.answered {
		k.silence = max(now.Sub(p.silentFrom), time.Microsecond)
	}
	return k
}
