package hosted

import (
	"net"

	"github.com/cockroachdb/errors"

	"siskincove/settings"
)

// listeners are the listening sockets of an instance.
type listeners struct {
	callers net.Listener
	peers   net.Listener
	health  net.Listener
	metrics net.Listener
}

func listen(s settings.Listen) (listeners, error) {
	var l listeners
	sockets := map[string]*net.Listener{s.Callers: &l.callers, s.Peers: &l.peers, s.Health: &l.health, s.Metrics: &l.metrics}
	for address, target := range sockets {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			l.close()
			return l, errors.Wrapf(err, "listening on %s", address)
		}
		*target = listener
	}
	return l, nil
}

func (l listeners) close() {
	for _, listener := range []net.Listener{l.callers, l.peers, l.health, l.metrics} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}
