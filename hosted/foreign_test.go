package hosted

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"siskincove/standin/hosting"
)

// TestForeignEntries guards against rows of other writers that end an instance, that keep it from following the endpoints and the
// configuration, or that count as replicas which may hold commits, so that no primary is replaced any more.
func TestForeignEntries(t *testing.T) {
	entry := func(changed map[string]any) map[string]any {
		out := map[string]any{
			"service": "g", "address": "127.0.0.1:1", "zone": "b", "version": "v1", "slots": 5, "state": "ready",
			"cold-remaining-ms": 0, "db-role": "replica", "sequence": 4, "born": 1_700_000_000_000,
		}
		for name, value := range changed {
			if out[name] = value; value == nil {
				delete(out, name)
			}
		}
		return out
	}
	deep := []byte(`{"service":` + strings.Repeat("[", 30_000) + strings.Repeat("]", 30_000) + "}")
	tests := map[string]func(s *hosting.Store){
		"over that of a replica": func(s *hosting.Store) { s.Write("servers", "i-g-2", entry(map[string]any{"sequence": "none"})) },
		"address of an endpoint": func(s *hosting.Store) {
			var own map[string]any
			_ = json.Unmarshal(s.Rows("servers")["i-g-1"], &own)
			s.Write("servers", "x-1", entry(map[string]any{"address": own["address"], "slots": "5"}))
		},
		"fields missing": func(s *hosting.Store) {
			s.Write("servers", "x-1", entry(map[string]any{"version": nil, "cold-remaining-ms": nil, "sequence": "none"}))
		},
		"primary with a field missing": func(s *hosting.Store) {
			s.Write("servers", "x-1", entry(map[string]any{"db-role": "primary", "version": nil}))
		},
		"numbers too large": func(s *hosting.Store) {
			s.Write("servers", "x-1", entry(map[string]any{"slots": 1e300}))
			s.Write("servers", "x-2", entry(map[string]any{"slots": 9e18}))
			s.Write("servers", "x-3", entry(map[string]any{"born": 1e300}))
			s.WriteRaw("servers", "x-4", []byte(`{"slots":1e999}`))
		},
		"port out of range": func(s *hosting.Store) {
			s.Write("servers", "x-1", entry(map[string]any{"address": "127.0.0.1:65536"}))
			s.Write("servers", "x-2", entry(map[string]any{"address": "127.0.0.1:-1"}))
			s.Write("servers", "x-3", entry(map[string]any{"address": "nowhere"}))
		},
		"nested deeply": func(s *hosting.Store) { s.WriteRaw("servers", "x-1", deep) },
		"bytes":         func(s *hosting.Store) { s.WriteRaw("servers", "x-1", []byte("\xff\x00\r\n")) },
		"id that is several words": func(s *hosting.Store) {
			s.Write("servers", "x 1\r\nQUERY - STATUS", entry(nil))
		},
		"rows of own tables": func(s *hosting.Store) {
			s.WriteRaw("fences", "g", []byte("none"))
			s.WriteRaw("instances", "x-1", []byte("null"))
			s.WriteRaw("instances", "x-2", []byte(`{"address":"nowhere:99999","domain":"/"}`))
			s.WriteRaw("instances", "x-3", deep)
		},
		"service that no configuration names": func(s *hosting.Store) {
			s.Write("servers", "x-1", entry(map[string]any{"service": "other", "db-role": "primary"}))
		},
	}
	for name, write := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t, 2)
			lost := d.group.Primary()
			w := d.startWriter(0)
			d.eventually("writes are acknowledged", func() bool { return w.acknowledged() > 20 })
			write(d.store)
			// Coordinators replace a primary only when they have known the endpoints for some seconds.
			time.Sleep(6 * time.Second)
			lost.Crash()
			d.eventually("another endpoint is primary", func() bool {
				p := d.group.Primary()
				return p != nil && p != lost
			})
			before := w.acknowledged()
			d.eventually("writes are acknowledged again", func() bool { return w.acknowledged() > before+20 })
			d.store.Write("op", "config", map[string]any{
				"version": 9, "routes": []map[string]any{{"host": "other", "type": "primary", "service": "g", "timeout-ms": 900}},
				"services": []map[string]any{{"name": "g", "max-connections": 60, "sync-replicas": 1}}, "limits": map[string]any{},
			})
			d.eventually("new route served", func() bool {
				_, err := hosting.Dial(d.addresses[1], "other")
				return err == nil
			})
			d.checkWrites(w)
		})
	}
}
