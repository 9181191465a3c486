package instance

import (
	"context"
	"crypto/tls"

	"siskincove/certificate"
	"siskincove/clock"
	"siskincove/event"
	"siskincove/settings"
)

// secured is the stores of certificates that the settings name, nil for sides in plain text.
type secured struct {
	callers   *certificate.Store
	peers     *certificate.Store
	endpoints *certificate.Store
}

// CertificateError is a certificate, key or authority that can't be used.
type CertificateError struct {
	Key   string
	Cause error
}

// Error names the cause.
func (e *CertificateError) Error() string { return e.Cause.Error() }

func openSecured(ctx context.Context, s settings.TLS, service clock.Service, logger *event.Logger) (secured, error) {
	var out secured
	sides := []struct {
		key   string
		files certificate.Files
		into  **certificate.Store
	}{
		{"tls.certificate", s.Callers(), &out.callers},
		{"tls.peercertificate", s.Peers(), &out.peers},
		{"tls.endpointauthority", s.Endpoints(), &out.endpoints},
	}
	for _, side := range sides {
		if side.files == (certificate.Files{}) {
			continue
		}
		store, err := certificate.Open(ctx, side.files, service, logger)
		if err != nil {
			return out, &CertificateError{Key: side.key, Cause: err}
		}
		*side.into = store
	}
	return out, nil
}

func (s secured) mutual() *tls.Config {
	if s.peers == nil {
		return nil
	}
	return s.peers.Mutual()
}

func (s secured) towardsCallers() *tls.Config {
	if s.callers == nil {
		return nil
	}
	return s.callers.Server()
}

func (s secured) towardsEndpoints() func(host string, named bool) *tls.Config {
	if s.endpoints == nil {
		return nil
	}
	return s.endpoints.Client
}
