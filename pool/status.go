package pool

import (
	"context"
	"time"

	"github.com/apex/log"

	"siskincove/endpoint"
	"siskincove/event"
)

const (
	// statusQueryTimeout bounds one status query.
	statusQueryTimeout = 400 * time.Millisecond
	// statusPollInterval is the minimum time between two status queries while a request waits for a position.
	statusPollInterval = time.Millisecond
)

// pollStatus queries the endpoint's status at the configured interval.
func (p *Pool) pollStatus() {
	for {
		if _, err := p.refreshStatus(p.ctx); err != nil && p.snapshot().status.Leads() {
			p.checkSuperseded()
		}
		select {
		case <-p.ctx.Done():
			return
		case <-p.clock.After(p.currentOptions().Interval):
		}
	}
}

// refreshStatus returns a status that was read after the call. Concurrent callers share one query.
func (p *Pool) refreshStatus(ctx context.Context) (endpoint.Status, error) {
	return p.statusGroup.Do(ctx, p.ctx, p.queryStatus)
}

func (p *Pool) queryStatus(ctx context.Context) (endpoint.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, statusQueryTimeout)
	defer cancel()
	vendor := p.currentOptions().Vendor
	sentAt := p.now()
	statusQueries.Inc()
	status, err := p.reserved.status.use(ctx, p.dialer, func(q endpoint.Querier) (endpoint.Status, error) {
		return vendor.Status(ctx, q)
	})
	p.recordStatus(status, err, sentAt)
	return status, err
}

// recordStatus records the outcome of a status query that was sent at sentAt.
func (p *Pool) recordStatus(status endpoint.Status, err error, sentAt time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	if err != nil {
		if p.responding {
			p.unresponsiveSince = sentAt
			p.logger.Log(event.EndpointUnresponsive, log.Fields{"endpoint": p.name, "error": err.Error()})
		}
		p.responding = false
		return
	}
	before := p.status
	p.status, p.statusAt, p.responding = status, now, true
	if before.Role != status.Role || before.Fenced != status.Fenced {
		p.logRoleChange(before, status)
	}
	if status.Leads() && before.Log.Term != status.Log.Term {
		p.goroutines.Go(p.establish)
	}
}

func (p *Pool) logRoleChange(before, status endpoint.Status) {
	p.logger.Log(event.RoleChanged, log.Fields{
		"endpoint": p.name, "before": before.Role.String(), "role": status.Role.String(),
		"term": uint64(status.Fenced), "log": status.Log.String(),
	})
}

// checkSuperseded queries the other members to find out whether an unresponsive primary has been replaced.
func (p *Pool) checkSuperseded() {
	ctx, cancel := context.WithTimeout(p.ctx, certifyTimeout)
	defer cancel()
	p.refreshOthers(ctx)
}

// waitForPosition polls until the log covers the position or the endpoint has promised a higher term. It returns the
// last status read.
func (p *Pool) waitForPosition(ctx context.Context, position endpoint.Position) (endpoint.Status, error) {
	return p.waitForStatus(ctx, func(s endpoint.Status) bool {
		if p.canRecordLogTerm(s, position) {
			s = p.recordLogTerm(ctx, position)
		}
		return s.Log.Covers(position) || uint64(s.Fenced) > uint64(position.Term)
	})
}

// canRecordLogTerm reports whether the endpoint has received the position from the primary that it follows, but has not
// stored the term of that record yet.
func (p *Pool) canRecordLogTerm(s endpoint.Status, position endpoint.Position) bool {
	_, supported := p.currentOptions().Vendor.(endpoint.LogTermRecorder)
	follows := s.Receiving && uint64(s.Fenced) == uint64(position.Term)
	return supported && follows && s.Log.Term < position.Term && s.Log.Offset >= position.Offset
}

// recordLogTerm makes the endpoint store the term that its log has reached. This is needed once per term.
func (p *Pool) recordLogTerm(ctx context.Context, position endpoint.Position) endpoint.Status {
	vendor, _ := p.currentOptions().Vendor.(endpoint.LogTermRecorder)
	sentAt := p.now()
	status, err := p.reserved.commands.use(ctx, p.dialer, func(q endpoint.Querier) (endpoint.Status, error) {
		return vendor.RecordLogTerm(ctx, q, position)
	})
	if err == nil {
		p.recordStatus(status, nil, sentAt)
	}
	return status
}

// waitForStatus polls until satisfied accepts a status or ctx ends, and returns the last status read.
func (p *Pool) waitForStatus(ctx context.Context, satisfied func(endpoint.Status) bool) (endpoint.Status, error) {
	for {
		status, err := p.refreshStatus(ctx)
		if err != nil || satisfied(status) {
			return status, err
		}
		select {
		case <-ctx.Done():
			return status, nil
		case <-p.clock.After(statusPollInterval):
		}
	}
}

// statusSnapshot is the last known status of the endpoint, its age, and how long the endpoint has not responded, 0 if it
// responds.
type statusSnapshot struct {
	status          endpoint.Status
	age             time.Duration
	unresponsiveFor time.Duration
}

func (p *Pool) snapshot() statusSnapshot {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	snapshot := statusSnapshot{status: p.status, age: now.Sub(p.statusAt)}
	if !p.responding {
		snapshot.unresponsiveFor = max(now.Sub(p.unresponsiveSince), time.Microsecond)
	}
	return snapshot
}
