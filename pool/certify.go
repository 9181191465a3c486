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
	// certifyInterval is the least time between two certificates; a longer interval between status questions is used
	// instead.
	certifyInterval = 500 * time.Millisecond
	// certifyFirst is the first pause while there is no certificate; it doubles.
	certifyFirst   = 25 * time.Millisecond
	certifyTimeout = 450 * time.Millisecond
)

// certify keeps the history of certificates: a primary's pool makes them, a replica's pool fetches them. Until there is
// one it tries sooner, since nothing can be said of the age of data before.
func (p *Pool) certify() {
	first := certifyFirst
	for {
		p.certifyOnce()
		pause := max(certifyInterval, p.settings().Interval)
		if !p.certified() {
			pause = min(first, pause)
			first *= 2
		}
		select {
		case <-p.ctx.Done():
			return
		case <-p.clock.After(pause):
		}
	}
}

func (p *Pool) certified() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, ok := p.history.Newest()
	return ok
}

func (p *Pool) certifyOnce() {
	ctx, cancel := context.WithTimeout(p.ctx, certifyTimeout)
	defer cancel()
	if p.known().status.Leads() {
		p.makeCertificate(ctx)
		return
	}
	p.fetchCertificates(ctx)
}

// makeCertificate samples this primary's log and has a majority confirm, after the sample, that no higher term was promised.
func (p *Pool) makeCertificate(ctx context.Context) {
	at := p.now()
	sample, err := p.ask(ctx)
	if err != nil || !sample.Leads() {
		return
	}
	term := endpoint.LogTerm(sample.Fenced)
	if !p.confirmer.serves(term) {
		p.establishAgain()
	}
	agreed := 1
	for _, status := range p.askOthers(ctx) {
		if endpoint.LogTerm(status.Fenced) == term {
			agreed++
		}
	}
	if agreed >= session.Majority(len(p.settings().Members)) {
		p.keep(session.Certificate{Position: sample.Log, At: at})
	}
}

// establishAgain tries anew when an earlier confirmation of the term ran out of time.
func (p *Pool) establishAgain() { p.running.Go(p.establish) }

func (p *Pool) keep(c session.Certificate) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.history = p.history.With(c)
}

// askOthers asks the owners of the group's other endpoints for fresh statuses, and notes them for confirmations.
func (p *Pool) askOthers(ctx context.Context) []endpoint.Status {
	others := p.confirmer.others()
	answers := make([]endpoint.Status, len(others))
	got := make([]bool, len(others))
	var wait sync.WaitGroup
	for i, e := range others {
		wait.Go(func() {
			report, err := p.owners.Ask(ctx, e, StatusRequest{Fresh: true})
			if err == nil && report.Silence == 0 {
				answers[i], got[i] = report.Status, true
				p.confirmer.note(e.Name, report.Status)
			}
		})
	}
	wait.Wait()
	var out []endpoint.Status
	for i, ok := range got {
		if ok {
			out = append(out, answers[i])
		}
	}
	return out
}

// fetchCertificates asks the owners of the other endpoints until one that leads answers with a certificate.
func (p *Pool) fetchCertificates(ctx context.Context) {
	others := p.confirmer.others()
	var wait sync.WaitGroup
	for _, e := range others {
		wait.Go(func() { p.fetchCertificate(ctx, e) })
	}
	wait.Wait()
}

// fetchCertificate counts the age from before the question was sent, so that delays only make data seem older.
func (p *Pool) fetchCertificate(ctx context.Context, e config.Endpoint) {
	asked := p.now()
	report, err := p.owners.Ask(ctx, e, StatusRequest{})
	if err != nil || report.Sample == nil {
		return
	}
	p.keep(session.Certificate{Position: report.Sample.Position, At: asked.Add(-report.Sample.Age)})
}
