package settings

import (
	"reflect"
	"slices"
)

// Change lists the keys that differ between the current settings and the file. Applied keys take effect immediately,
// NeedRestart keys at the next start.
type Change struct {
	Applied     []string
	NeedRestart []string
}

// key is a key or a section of the file.
type key struct {
	name string
	// reloadable is set if a running instance applies changes of the key.
	reloadable bool
	field      func(s *Settings) any
}

// keys covers the whole file. The keys of a section that is listed as such are either all reloadable or none.
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
	{"keys", true, func(s *Settings) any { return &s.Keys }},
	{"allotment", false, func(s *Settings) any { return &s.Allotment }},
	{"tls", false, func(s *Settings) any { return &s.TLS }},
}

// Reload returns the settings with the reloadable keys of next applied, and which keys differed.
func (s Settings) Reload(next Settings) (Settings, Change) {
	var c Change
	for _, k := range keys {
		current, wanted := reflect.ValueOf(k.field(&s)).Elem(), reflect.ValueOf(k.field(&next)).Elem()
		if reflect.DeepEqual(current.Interface(), wanted.Interface()) {
			continue
		}
		if !k.reloadable {
			c.NeedRestart = append(c.NeedRestart, k.name)
			continue
		}
		current.Set(wanted)
		c.Applied = append(c.Applied, k.name)
	}
	slices.Sort(c.Applied)
	slices.Sort(c.NeedRestart)
	return s, c
}
