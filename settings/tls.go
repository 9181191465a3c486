package settings

import "siskincove/certificate"

// TLS names certificates, keys and authorities, all files in PEM; empty ones leave that side in plain text.
type TLS struct {
	// Certificate and Key are shown to callers; Required refuses callers without TLS.
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
	Required    bool   `toml:"required"`
	// PeerCertificate and PeerKey are shown to other instances, whose certificates must come from PeerAuthority.
	PeerCertificate string `toml:"peercertificate"`
	PeerKey         string `toml:"peerkey"`
	PeerAuthority   string `toml:"peerauthority"`
	// EndpointAuthority is where endpoints' certificates must come from, for databases with tls.
	EndpointAuthority string `toml:"endpointauthority"`
}

// Callers returns the files for callers.
func (s TLS) Callers() certificate.Files {
	return certificate.Files{Certificate: s.Certificate, Key: s.Key}
}

// Peers returns the files for other instances.
func (s TLS) Peers() certificate.Files {
	return certificate.Files{Certificate: s.PeerCertificate, Key: s.PeerKey, Authority: s.PeerAuthority}
}

// Endpoints returns the files for endpoints.
func (s TLS) Endpoints() certificate.Files {
	return certificate.Files{Authority: s.EndpointAuthority}
}

func (s TLS) check(c *checker) {
	c.together("tls.key", s.Key, "tls.certificate", s.Certificate)
	c.together("tls.peerkey", s.PeerKey, "tls.peercertificate", s.PeerCertificate)
	c.together("tls.peerauthority", s.PeerAuthority, "tls.peercertificate", s.PeerCertificate)
	if s.Required && s.Certificate == "" {
		c.report("tls.required", "needs tls.certificate")
	}
}
