package succession

import (
	"context"
	"time"

	"siskincove/config"
	"siskincove/endpoint"
	"siskincove/statement"
)

// resume lets an endpoint receive again if it is held under a term. RESUME names no term, so it is sent over the connection over which the
// endpoint has just told the term of its hold, and not later than a probe may take after the question: this process may have been suspended
// meanwhile, and the hold be that of a later succession. It returns the result of the question, and whether the endpoint has confirmed the release.
func (p *prober) resume(ctx context.Context, e config.Endpoint, term endpoint.FencedTerm, timeout time.Duration) (ProbeResult, bool) {
	conn, result := p.connect(ctx, e, timeout)
	if conn == nil {
		return result, false
	}
	limit := timeout + extraRoundTrips*conn.RoundTrip()
	askedAt := p.clock.Now()
	result = p.exchange(ctx, conn, result, statement.ProxyStep(statement.Status), askedAt.Add(limit))
	if !result.Answered {
		return result, false
	}
	if result.Status == nil || result.Status.Held != term || p.clock.Now().Sub(askedAt) > limit {
		p.release(e.Name, conn)
		return result, false
	}
	// The connection writes nothing after the deadline.
	released := p.exchange(ctx, conn, result, statement.ProxyStep(statement.Resume), askedAt.Add(2*limit))
	if released.Answered {
		p.release(e.Name, conn)
	}
	return result, released.Answered && released.Status != nil
}
