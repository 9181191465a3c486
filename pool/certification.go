package pool

import (
	"context"
	"sync"
	"time"

	"siskincove/config"
	"siskincove/endpoint"
	"siskincove/session"
)

const (
	// certifyInterval is the minimum time between two certificates; the status interval is used if it is longer.
	certifyInterval = 500 * time.Millisecond
	// certifyRetryInitial is the first delay while there is no certificate; it doubles with each attempt.
	certifyRetryInitial = 25 * time.Millisecond
	certifyTimeout      = 450 * time.Millisecond
)

// runCertification maintains the history of freshness certificates: a primary's pool creates them, a replica's pool fetches them.
// It retries sooner until it has the first one, since the age of the data is unknown until then.
func (p *Pool) runCertification() {
	retry := certifyRetryInitial
	for {
		p.certifyOnce()
		pause := max(certifyInterval, p.currentOptions().Interval)
		if !p.hasCertificate() {
			pause = min(retry, pause)
			retry *= 2
		}
		select {
		case <-p.ctx.Done():
			return
		case <-p.clock.After(pause):
		}
	}
}

func (p *Pool) hasCertificate() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, ok := p.history.Newest()
	return ok
}

func (p *Pool) certifyOnce() {
	ctx, cancel := context.WithTimeout(p.ctx, certifyTimeout)
	defer cancel()
	if p.snapshot().status.Leads() {
		p.makeCertificate(ctx)
		return
	}
	p.fetchCertificates(ctx)
}

// makeCertificate reads this primary's log position and adds a certificate for it if a majority, asked afterwards, has
// promised this primary's term and no higher one.
func (p *Pool) makeCertificate(ctx context.Context) {
	startedAt := p.now()
	sample, err := p.refreshStatus(ctx)
	if err != nil || !sample.Leads() {
		return
	}
	term := endpoint.LogTerm(sample.Fenced)
	if !p.confirmer.isEstablished(term) {
		p.retryEstablish()
	}
	agreed := 1
	for _, status := range p.refreshOthers(ctx) {
		if endpoint.LogTerm(status.Fenced) == term {
			agreed++
		}
	}
	if agreed >= session.Majority(len(p.currentOptions().Members)) {
		p.addCertificate(session.FreshnessCertificate{Position: sample.Log, At: startedAt})
	}
}

// retryEstablish starts another attempt to establish the term, since an earlier one may have timed out.
func (p *Pool) retryEstablish() { p.goroutines.Go(p.establish) }

func (p *Pool) addCertificate(c session.FreshnessCertificate) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.history = p.history.With(c)
}

// refreshOthers requests fresh statuses from the owners of the group's other endpoints and records them for
// confirmations.
func (p *Pool) refreshOthers(ctx context.Context) []endpoint.Status {
	others := p.confirmer.otherMembers()
	statuses := make([]endpoint.Status, len(others))
	answered := make([]bool, len(others))
	var wait sync.WaitGroup
	for i, e := range others {
		wait.Go(func() {
			report, err := p.owners.RequestStatus(ctx, e, StatusRequest{Fresh: true})
			if err == nil && report.UnresponsiveFor == 0 {
				statuses[i], answered[i] = report.Status, true
				p.confirmer.record(e.Name, report.Status)
			}
		})
	}
	wait.Wait()
	var out []endpoint.Status
	for i, ok := range answered {
		if ok {
			out = append(out, statuses[i])
		}
	}
	return out
}

// fetchCertificates requests a certificate from the owners of all other endpoints; only the primary's owner sends one.
func (p *Pool) fetchCertificates(ctx context.Context) {
	others := p.confirmer.otherMembers()
	var wait sync.WaitGroup
	for _, e := range others {
		wait.Go(func() { p.fetchCertificate(ctx, e) })
	}
	wait.Wait()
}

// fetchCertificate counts the age from before the request was sent, so that delays can only make data seem older than
// it is.
func (p *Pool) fetchCertificate(ctx context.Context, e config.Endpoint) {
	sentAt := p.now()
	report, err := p.owners.RequestStatus(ctx, e, StatusRequest{})
	if err != nil || report.Certificate == nil {
		return
	}
	p.addCertificate(session.FreshnessCertificate{Position: report.Certificate.Position, At: sentAt.Add(-report.Certificate.Age)})
}
