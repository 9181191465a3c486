package certificate

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"siskincove/clock"
	"siskincove/event"
)

const reloadInterval = 10 * time.Second

// Store holds the latest valid certificate, key and certificate authorities of a set of files.
type Store struct {
	files   Files
	current atomic.Pointer[keyMaterial]
	done    chan struct{}
}

// Open loads the files, fails if they are invalid, and reloads them every reloadInterval until ctx ends. A failed reload is
// logged and leaves the key material as it was.
func Open(ctx context.Context, files Files, clk clock.Service, logger *event.Logger) (*Store, error) {
	s := &Store{files: files, done: make(chan struct{})}
	m, err := files.load(clk.Now())
	if err != nil {
		return nil, err
	}
	s.current.Store(&m)
	go s.watch(ctx, clk, logger)
	return s, nil
}

// Done returns a channel that is closed once the store has stopped reloading its files.
func (s *Store) Done() <-chan struct{} { return s.done }

func (s *Store) watch(ctx context.Context, clk clock.Service, logger *event.Logger) {
	defer close(s.done)
	for {
		select {
		case <-ctx.Done():
			return
		case <-clk.After(reloadInterval):
			s.reload(clk.Now(), logger)
		}
	}
}

func (s *Store) reload(now time.Time, logger *event.Logger) {
	m, err := s.files.load(now)
	if err != nil {
		logger.Log(event.CertificateFailed, log.Fields{"error": err.Error()})
		return
	}
	previous := s.current.Swap(&m)
	if m.pair != nil && !m.pair.Leaf.Equal(previous.pair.Leaf) {
		logger.Log(event.CertificateLoaded, log.Fields{"file": s.files.Certificate, "until": m.pair.Leaf.NotAfter.Format(time.RFC3339)})
	}
}

// Server returns the configuration of a listener that requests no client certificate, as for callers.
func (s *Store) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return s.current.Load().pair, nil
		},
	}
}

// Mutual returns the configuration for both ends of a connection between instances. Each must present a certificate issued
// by the authorities. Host names are not verified, since instances are addressed by IP addresses that change.
func (s *Store) Mutual() *tls.Config {
	c := s.Server()
	c.MinVersion = tls.VersionTLS13
	c.ClientAuth = tls.RequireAnyClientCert
	c.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
		return s.current.Load().pair, nil
	}
	c.InsecureSkipVerify = true
	c.VerifyConnection = s.verifyPeer
	return c
}

// Client returns the configuration for connections to an endpoint at a host. The endpoint's certificate must be issued by
// the authorities and, if verifyName is set, valid for the host.
func (s *Store) Client(host string, verifyName bool) *tls.Config {
	c := &tls.Config{MinVersion: tls.VersionTLS12, ServerName: host, InsecureSkipVerify: true}
	c.VerifyConnection = func(state tls.ConnectionState) error {
		if err := s.verifyPeer(state); err != nil {
			return err
		}
		if !verifyName {
			return nil
		}
		return state.PeerCertificates[0].VerifyHostname(host)
	}
	return c
}

var errNoPeerCertificate = errors.New("peer presented no certificate")

// verifyPeer checks the certificates that the peer has presented against the current authorities.
func (s *Store) verifyPeer(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errNoPeerCertificate
	}
	intermediates := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: s.current.Load().authorities, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return errors.Wrap(err, "verifying the peer's certificate")
}
