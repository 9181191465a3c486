package instance

import (
	"context"
	"crypto/tls"

	"siskincove/certificate"
	"siskincove/clock"
	"siskincove/event"
	"siskincove/settings"
)

// certificateStores are the stores of the certificates given in the settings. A store is nil if the settings
// name no files for connections of that kind.
type certificateStores struct {
	callers   *certificate.Store
	peers     *certificate.Store
	endpoints *certificate.Store
}

// CertificateError is returned if a certificate, key or certificate authority can't be used. Key is the settings key that
// names its file.
type CertificateError struct {
	Key   string
	Cause error
}

// Error returns the message of the cause.
func (e *CertificateError) Error() string { return e.Cause.Error() }

func openCertificates(ctx context.Context, s settings.TLS, clk clock.Service, logger *event.Logger) (certificateStores, error) {
	var out certificateStores
	sides := []struct {
		key    string
		files  certificate.Files
		target **certificate.Store
	}{
		{"tls.certificate", s.Callers(), &out.callers},
		{"tls.peercertificate", s.Peers(), &out.peers},
		{"tls.endpointauthority", s.Endpoints(), &out.endpoints},
	}
	for _, side := range sides {
		if side.files == (certificate.Files{}) {
			continue
		}
		store, err := certificate.Open(ctx, side.files, clk, logger)
		if err != nil {
			return out, &CertificateError{Key: side.key, Cause: err}
		}
		*side.target = store
	}
	return out, nil
}

func (s certificateStores) peerConfig() *tls.Config {
	if s.peers == nil {
		return nil
	}
	return s.peers.Mutual()
}

func (s certificateStores) callerConfig() *tls.Config {
	if s.callers == nil {
		return nil
	}
	return s.callers.Server()
}

func (s certificateStores) endpointConfig() func(host string, named bool) *tls.Config {
	if s.endpoints == nil {
		return nil
	}
	return s.endpoints.Client
}
