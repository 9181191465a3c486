package settings

import (
	"reflect"
	"slices"
)

// Change says which keys differ between the settings in force and the file: Taken are in force from now on, Waiting only
// after the next start.
type Change struct {
	Applied     []string
	NeedRestart []string
}

// key is one key, or one section, of the file.
type key struct {
	name string
	// live tells that a running instance takes the key over.
	live  bool
	field func(s *Settings) any
}

// keys are all of the file; where a section is named, its keys are taken over or wait together.
var keys = []key{
	{"instance", false, func(s *Settings) any { return &s.Instance }},
	{"callers", false, func(s *Settings) any { return &s.Callers }},
	{"listen.callers", false, func(s *Settings) any { return &s.Listen.Callers }},
	{"listen.peers", false, func(s *Settings) any { return &s.Listen.Peers }},
	{"listen.health", false, func(s *Settings) any { return &s.Listen.Health }},
	{"listen.metrics", false, func(s *Settings) any { return &s.Listen.Metrics }},
	{"listen.advertise", false, func(s *Settings) any { return &s.Listen.Advertise }},
	{"listen.proxy", false, func(s *Settings) any { return &s.Listen.Proxy }},
	{"listen.seeds", true, func(s *Settings) any { return &s.Listen.Seeds }},
	{"regions", true, func(s *Settings) any { return &s.Regions }},
	{"store", true, func(s *Settings) any { return &s.Store }},
	{"promotion", true, func(s *Settings) any { return &s.Promotion }},
	{"token", false, func(s *Settings) any { return &s.Token }},
	{"log", true, func(s *Settings) any { return &s.Log }},
	{"drain", true, func(s *Settings) any { return &s.Drain }},
	{"failover", false, func(s *Settings) any { return &s.Failover }},
	{"tls", false, func(s *Settings) any { return &s.TLS }},
}

// With returns the settings with what a running instance takes over from next, and what differed.
func (s Settings) Reload(next Settings) (Settings, Change) {
	var c Change
	for _, k := range keys {
		own, other := reflect.ValueOf(k.field(&s)).Elem(), reflect.ValueOf(k.field(&next)).Elem()
		if reflect.DeepEqual(own.Interface(), other.Interface()) {
			continue
		}
		if !k.live {
			c.NeedRestart = append(c.NeedRestart, k.name)
			continue
		}
		own.Set(other)
		c.Applied = append(c.Applied, k.name)
	}
	slices.Sort(c.Applied)
	slices.Sort(c.NeedRestart)
	return s, c
}
