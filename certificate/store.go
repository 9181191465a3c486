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

// reloadInterval is how often the files are read again.
const reloadInterval = 10 * time.Second

// Store holds the newest good material of a set of files.
type Store struct {
	files   Files
	current atomic.Pointer[material]
	done    chan struct{}
}

// Open reads the files, which must be good, and reads them again at intervals until ctx ends; bad ones are logged and
// the last good ones kept.
func Open(ctx context.Context, files Files, service clock.Service, logger *event.Logger) (*Store, error) {
	s := &Store{files: files, done: make(chan struct{})}
	m, err := files.read(service.Now())
	if err != nil {
		return nil, err
	}
	s.current.Store(&m)
	go s.follow(ctx, service, logger)
	return s, nil
}

// Done is closed when the store has stopped reading its files.
func (s *Store) Done() <-chan struct{} { return s.done }

func (s *Store) follow(ctx context.Context, service clock.Service, logger *event.Logger) {
	defer close(s.done)
	for {
		select {
		case <-ctx.Done():
			return
		case <-service.After(reloadInterval):
			s.reload(service.Now(), logger)
		}
	}
}

func (s *Store) reload(now time.Time, logger *event.Logger) {
	m, err := s.files.read(now)
	if err != nil {
		logger.Log(event.CertificateFailed, log.Fields{"error": err.Error()})
		return
	}
	before := s.current.Swap(&m)
	if m.pair != nil && !m.pair.Leaf.Equal(before.pair.Leaf) {
		logger.Log(event.CertificateLoaded, log.Fields{"file": s.files.Certificate, "until": m.pair.Leaf.NotAfter.Format(time.RFC3339)})
	}
}

// Server returns the configuration of a listener that asks for no certificates, as for callers.
func (s *Store) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return s.current.Load().pair, nil
		},
	}
}

// Mutual returns the configuration for both ends of a connection between instances: each must show a certificate of
// the authorities. Instances are known by IP numbers that change, so names are not compared.
func (s *Store) Mutual() *tls.Config {
	c := s.Server()
	c.MinVersion = tls.VersionTLS13
	c.ClientAuth = tls.RequireAnyClientCert
	c.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
		return s.current.Load().pair, nil
	}
	c.InsecureSkipVerify = true
	c.VerifyConnection = s.verify
	return c
}

// Client returns the configuration towards an endpoint at a host: its certificate must come from the authorities and,
// with named, name the host.
func (s *Store) Client(host string, named bool) *tls.Config {
	c := &tls.Config{MinVersion: tls.VersionTLS12, ServerName: host, InsecureSkipVerify: true}
	c.VerifyConnection = func(state tls.ConnectionState) error {
		if err := s.verify(state); err != nil {
			return err
		}
		if !named {
			return nil
		}
		return state.PeerCertificates[0].VerifyHostname(host)
	}
	return c
}

var errNoCertificate = errors.New("no certificate was shown")

// verify checks the certificates that the other end has shown against the authorities known now.
func (s *Store) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errNoCertificate
	}
	intermediates := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: s.current.Load().authorities, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return errors.Wrap(err, "certificate of the other end")
}
