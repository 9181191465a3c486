package settings

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"siskincove/document"
)

// TestReload checks which edits of a file apply while the instance runs and which need a restart.
func TestReload(t *testing.T) {
	base := Default()
	base.Listen.Callers = "127.0.0.1:1"
	tests := map[string]struct {
		edit func(*Settings)
		want Change
	}{
		"no change":      {edit: func(*Settings) {}},
		"log level":      {edit: func(s *Settings) { s.Log.Level = "debug" }, want: Change{Applied: []string{"log"}}},
		"store":          {edit: func(s *Settings) { s.Store.Address = "127.0.0.1:9" }, want: Change{Applied: []string{"store"}}},
		"regions":        {edit: func(s *Settings) { s.Regions = map[string]string{"a": "r"} }, want: Change{Applied: []string{"regions"}}},
		"listen address": {edit: func(s *Settings) { s.Listen.Callers = "127.0.0.1:2" }, want: Change{NeedRestart: []string{"listen.callers"}}},
		"applied and pending": {
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

// TestKeysCoverSettings checks that keys has an entry for every setting. Changes of a setting without one would be ignored.
func TestKeysCoverSettings(t *testing.T) {
	var s Settings
	covered := make(map[uintptr]bool)
	for _, k := range keys {
		covered[reflect.ValueOf(k.field(&s)).Pointer()] = true
	}
	root := reflect.ValueOf(&s).Elem()
	for n := range root.NumField() {
		section := root.Field(n)
		if covered[section.Addr().Pointer()] && section.Type() != reflect.TypeFor[Listen]() {
			continue
		}
		if section.Kind() != reflect.Struct {
			t.Errorf("no key for %s", root.Type().Field(n).Name)
			continue
		}
		for m := range section.NumField() {
			if !covered[section.Field(m).Addr().Pointer()] {
				t.Errorf("no key for %s.%s", strings.ToLower(root.Type().Field(n).Name), section.Type().Field(m).Name)
			}
		}
	}
}
