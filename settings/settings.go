package settings

import (
	"net/netip"
	"strings"

	"siskincove/document"
)

// Settings holds all sections of an instance's settings file.
type Settings struct {
	Instance Instance `toml:"instance"`
	Callers  Callers  `toml:"callers"`
	Listen   Listen   `toml:"listen"`
	// Regions maps the failure domains of endpoints to their regions. It is used only with the platform's protocol.
	Regions   map[string]string `toml:"regions"`
	Store     Store             `toml:"store"`
	Promotion Promotion         `toml:"promotion"`
	Token     Token             `toml:"token"`
	Log       Log               `toml:"log"`
	Drain     Drain             `toml:"drain"`
	Failover  Failover          `toml:"failover"`
	TLS       TLS               `toml:"tls"`
	Keys      Keys              `toml:"keys"`
	Allotment Allotment         `toml:"allotment"`
}

// Default returns the default settings.
func Default() Settings {
	return Settings{
		Callers:  defaultCallers(),
		Log:      defaultLog(),
		Drain:    defaultDrain(),
		Failover: defaultFailover(),
	}
}

// Load reads and validates a file. The document gives the lines of its keys.
func Load(file string) (Settings, document.Document, document.Problems) {
	s := Default()
	d, problems := document.Load(file, &s)
	if len(problems) > 0 {
		return s, d, problems
	}
	c := &checker{document: d}
	s.Instance.check(c)
	s.Callers.check(c)
	s.Listen.check(c)
	s.checkProtocol(c)
	s.Log.check(c)
	s.Drain.check(c)
	s.Failover.check(c)
	s.TLS.check(c)
	s.Keys.check(c)
	s.Allotment.check(c)
	return s, d, c.problems
}

// checkProtocol checks the sections that depend on the callers' protocol.
func (s Settings) checkProtocol(c *checker) {
	s.Store.check(c)
	if s.Callers.Protocol == ProtocolPlatform {
		s.Promotion.check(c)
		c.require("listen.metrics", s.Listen.Metrics)
		return
	}
	s.Token.check(c)
}

// checker collects the problems found in a file.
type checker struct {
	document document.Document
	problems document.Problems
}

func (c *checker) report(key, message string) {
	c.problems = append(c.problems, c.document.Problem(key, message))
}

func (c *checker) require(key, value string) {
	if value == "" {
		c.report(key, "missing")
	}
}

func (c *checker) address(key, value string) {
	if value == "" {
		c.report(key, "missing; write an IP:port")
		return
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.report(key, "not an IP:port")
	}
}

// requireTogether reports key unless it and otherKey are both set or both empty.
func (c *checker) requireTogether(key, value, otherKey, otherValue string) {
	if (value == "") != (otherValue == "") {
		c.report(key, "must be set together with "+otherKey)
	}
}

func (c *checker) domain(key, value string) {
	region, domain, found := strings.Cut(value, "/")
	if !found || region == "" || domain == "" {
		c.report(key, "not of the form region/domain")
	}
}

func (c *checker) positive(key string, value document.Duration) {
	if value <= 0 {
		c.report(key, "must be above zero")
	}
}
