package settings

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"siskincove/document"
)

// TestWith gives edits of a file, what is taken over while running and what waits for a start.
func TestWith(t *testing.T) {
	base := Default()
	base.Listen.Callers = "127.0.0.1:1"
	tests := map[string]struct {
		edit func(*Settings)
		want Change
	}{
		"nothing":   {edit: func(*Settings) {}},
		"level":     {edit: func(s *Settings) { s.Log.Level = "debug" }, want: Change{Applied: []string{"log"}}},
		"store":     {edit: func(s *Settings) { s.Store.Address = "127.0.0.1:9" }, want: Change{Applied: []string{"store"}}},
		"regions":   {edit: func(s *Settings) { s.Regions = map[string]string{"a": "r"} }, want: Change{Applied: []string{"regions"}}},
		"listening": {edit: func(s *Settings) { s.Listen.Callers = "127.0.0.1:2" }, want: Change{NeedRestart: []string{"listen.callers"}}},
		"both": {
			edit: func(s *Settings) {
				s.Instance.ID = "other"
				s.Listen.Seeds = []string{"127.0.0.1:3"}
				s.Drain.Limit = document.Duration(time.Second)
			},
			want: Change{Applied: []string{"drain", "listen.seeds"}, NeedRestart: []string{"instance"}},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			next := base
			test.edit(&next)
			got, change := base.Reload(next)
			if diff := cmp.Diff(test.want, change); diff != "" {
				t.Error(diff)
			}
			_, again := got.Reload(next)
			if diff := cmp.Diff(Change{NeedRestart: test.want.NeedRestart}, again); diff != "" {
				t.Errorf("after the change: %s", diff)
			}
		})
	}
}

// TestEveryKey holds that no key of the file is forgotten when it changes.
func TestEveryKey(t *testing.T) {
	var s Settings
	known := make(map[uintptr]bool)
	for _, k := range keys {
		known[reflect.ValueOf(k.field(&s)).Pointer()] = true
	}
	root := reflect.ValueOf(&s).Elem()
	for n := range root.NumField() {
		section := root.Field(n)
		if known[section.Addr().Pointer()] && section.Type() != reflect.TypeFor[Listen]() {
			continue
		}
		if section.Kind() != reflect.Struct {
			t.Errorf("no key for %s", root.Type().Field(n).Name)
			continue
		}
		for m := range section.NumField() {
			if !known[section.Field(m).Addr().Pointer()] {
				t.Errorf("no key for %s.%s", strings.ToLower(root.Type().Field(n).Name), section.Type().Field(m).Name)
			}
		}
	}
}
