package clock

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestContract checks every implementation of Service; the manual one is advanced step by step.
func TestContract(t *testing.T) {
	manual := NewManual(time.Unix(1_000_000, 0))
	tests := map[string]struct {
		service Service
		advance func()
	}{
		"system": {service: System{}, advance: func() { time.Sleep(time.Millisecond) }},
		"boot":   {service: Boot{}, advance: func() { time.Sleep(time.Millisecond) }},
		"manual": {service: manual, advance: func() { manual.Advance(time.Millisecond) }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			start := test.service.Now()
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			after := test.service.After(3 * time.Millisecond)
			every := test.service.Every(ctx, 2*time.Millisecond)
			ticks, fired := 0, false
			for !fired || ticks < 3 {
				test.advance()
				select {
				case <-after:
					fired = true
					if test.service.Now().Sub(start) < 3*time.Millisecond {
						t.Error("fired early")
					}
				case <-every:
					ticks++
				default:
				}
			}
			cancel()
			if err := Wait(ctx, test.service, time.Hour); err == nil {
				t.Error("waited beyond its context")
			}
		})
	}
}

func TestManualSkipsMissedTicks(t *testing.T) {
	m := NewManual(time.Unix(0, 0))
	every := m.Every(context.Background(), time.Second)
	m.Advance(10 * time.Second)
	got := 0
	for len(every) > 0 {
		<-every
		got++
	}
	if diff := cmp.Diff(1, got); diff != "" {
		t.Error(diff)
	}
}
