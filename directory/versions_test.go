package directory

import (
	"testing"
	"time"

	"siskincove/clock"
	"siskincove/config"
	"siskincove/event"
	"siskincove/store"
)

// TestVersionsDuringApply guards against heartbeats, which carry the versions, that are not answered while a large configuration is
// applied: peers then take a live instance for dead.
func TestVersionsDuringApply(t *testing.T) {
	applying, release := make(chan struct{}), make(chan struct{})
	d := &Directory{options: Options{
		Decoder: wordDecoder{}, Clock: clock.System{}, Logger: event.Discard(), Regions: func() map[string]string { return nil }, OnChange: func() {},
		Apply: func(*config.Catalog, map[string]string) {
			close(applying)
			<-release
		},
	}}
	d.updateEndpoints(nil, store.NewVersion(0, 1), sourceStore)
	done := make(chan struct{})
	go func() {
		defer close(done)
		d.updateConfiguration(store.Row{Key: store.Key{Table: "o", Key: "c"}, Version: 3, Value: []byte("abc")}, sourceStore)
	}()
	<-applying
	read := make(chan Versions, 1)
	go func() { read <- d.Versions() }()
	select {
	case v := <-read:
		if v.Configuration != 0 {
			t.Errorf("version %d is told to peers before it is in force", v.Configuration)
		}
	case <-time.After(time.Second):
		t.Error("versions are not available while a configuration is applied")
	}
	if v := d.Known(); v.Configuration != 3 {
		t.Errorf("version %d is known while version 3 is applied, so that it would be fetched again", v.Configuration)
	}
	close(release)
	<-done
	if v := d.Versions(); v.Configuration != 3 || d.InForce() != 3 {
		t.Errorf("version %d is told to peers and %d in force, want 3", v.Configuration, d.InForce())
	}
}
