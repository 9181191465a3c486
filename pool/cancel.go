package pool

import (
	"context"
	"encoding/binary"
	"io"
	"net"

	"siskincove/endpoint"
)

const (
	cancelRequestCode  = 80877102
	cancelRequestBytes = 16
)

func (p *Pool) register(t *transaction) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.transactions[t.openRequest.GetId()] = t
}

func (p *Pool) unregister(t *transaction) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.transactions, t.openRequest.GetId())
}

// Cancel asks the endpoint to cancel what the transaction with this id is executing. The transaction keeps its
// connection until the cancel request has been delivered, so that the request can't hit another transaction.
func (p *Pool) Cancel(ctx context.Context, id uint64) {
	p.mu.Lock()
	t, ok := p.transactions[id]
	p.mu.Unlock()
	if !ok {
		return
	}
	t.cancelMu.Lock()
	defer t.cancelMu.Unlock()
	if t.released {
		return
	}
	p.sendCancel(ctx, t.connection)
}

// sendCancel delivers a cancel request and waits until the endpoint closes the connection, by which time it has acted
// on the request.
func (p *Pool) sendCancel(ctx context.Context, c *connection) {
	ctx, cancel := context.WithTimeout(ctx, statusQueryTimeout)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", p.currentOptions().Endpoint.Address)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	request := binary.BigEndian.AppendUint32(nil, uint32(cancelRequestBytes))
	request = binary.BigEndian.AppendUint32(request, cancelRequestCode)
	request = binary.BigEndian.AppendUint32(request, c.pid)
	request = append(request, c.secret...)
	if _, err := conn.Write(request); err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, conn)
}

// abortWrites closes the connections of writes that run under a superseded term or an earlier one: none of them can be
// confirmed, so their callers get the error at once.
func (p *Pool) abortWrites(term endpoint.LogTerm) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, t := range p.transactions {
		if t.openRequest.GetWrite() && t.term <= term {
			t.connection.close()
		}
	}
}
