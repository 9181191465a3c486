package pool

import (
	"context"
	"encoding/binary"
	"io"
	"net"

	"siskincove/endpoint"
)

const (
	cancelCode  = 80877102
	cancelBytes = 16
)

func (p *Pool) register(t *transaction) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.serving[t.open.GetId()] = t
}

func (p *Pool) unregister(t *transaction) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.serving, t.open.GetId())
}

// Cancel asks the endpoint to cancel what the numbered transaction executes. The connection may have been passed on by
// the time that the endpoint acts, so the transaction keeps it until the request was delivered.
func (p *Pool) Cancel(ctx context.Context, id uint64) {
	p.mu.Lock()
	t, ok := p.serving[id]
	p.mu.Unlock()
	if !ok {
		return
	}
	t.cancelling.Lock()
	defer t.cancelling.Unlock()
	if t.over {
		return
	}
	p.sendCancel(ctx, t.connection)
}

// sendCancel delivers a cancel request and waits until the endpoint has closed its connection, after which it was acted on.
func (p *Pool) sendCancel(ctx context.Context, c *connection) {
	ctx, cancel := context.WithTimeout(ctx, questionTimeout)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", p.settings().Endpoint.Address)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	request := binary.BigEndian.AppendUint32(nil, uint32(cancelBytes))
	request = binary.BigEndian.AppendUint32(request, cancelCode)
	request = binary.BigEndian.AppendUint32(request, c.pid)
	request = append(request, c.secret...)
	if _, err := conn.Write(request); err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, conn)
}

// abort ends the writes that run under a superseded term: none of them can be confirmed, so their callers are told now.
func (p *Pool) abort(term endpoint.LogTerm) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, t := range p.serving {
		if t.open.GetWrite() && t.term <= term {
			t.connection.close()
		}
	}
}
