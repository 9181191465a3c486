package settings

import "siskincove/certificate"

// TLS holds the paths of certificates, keys and certificate authorities in PEM. A side without files uses plain text.
type TLS struct {
	// Certificate and Key are presented to callers. If Required is set, callers without TLS are refused.
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
	Required    bool   `toml:"required"`
	// PeerCertificate and PeerKey are presented to other instances, whose certificates PeerAuthority must have issued.
	PeerCertificate string `toml:"peercertificate"`
	PeerKey         string `toml:"peerkey"`
	PeerAuthority   string `toml:"peerauthority"`
	// EndpointAuthority must have issued the endpoints' certificates, for databases that have tls set.
	EndpointAuthority string `toml:"endpointauthority"`
}

// Callers returns the files for connections from callers.
func (s TLS) Callers() certificate.Files {
	return certificate.Files{Certificate: s.Certificate, Key: s.Key}
}

// Peers returns the files for connections between instances.
func (s TLS) Peers() certificate.Files {
	return certificate.Files{Certificate: s.PeerCertificate, Key: s.PeerKey, Authority: s.PeerAuthority}
}

// Endpoints returns the files for connections to endpoints.
func (s TLS) Endpoints() certificate.Files {
	return certificate.Files{Authority: s.EndpointAuthority}
}

func (s TLS) check(c *checker) {
	c.requireTogether("tls.key", s.Key, "tls.certificate", s.Certificate)
	c.requireTogether("tls.peerkey", s.PeerKey, "tls.peercertificate", s.PeerCertificate)
	c.requireTogether("tls.peerauthority", s.PeerAuthority, "tls.peercertificate", s.PeerCertificate)
	if s.Required && s.Certificate == "" {
		c.report("tls.required", "requires tls.certificate")
	}
}
