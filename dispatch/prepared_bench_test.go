package dispatch

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"siskincove/statement"
)

// BenchmarkPrepare measures what a PREPARE costs an instance, which answers it itself.
func BenchmarkPrepare(b *testing.B) {
	for _, size := range []int{64, 1 << 10, 1 << 20} {
		b.Run(fmt.Sprintf("%d bytes", size), func(b *testing.B) {
			w := newGreyWorld(1, false, 0)
			defer w.end()
			r := statement.Request{ID: "1", Kind: statement.Prepare, Name: "s1", Value: strings.Repeat("q", size)}
			for b.Loop() {
				w.callers[0].session.Run(context.Background(), r)
			}
		})
	}
}

// BenchmarkExecute measures what an EXEC costs an instance beside an endpoint that answers at once.
func BenchmarkExecute(b *testing.B) {
	for name, borrows := range map[string]bool{"own connection": false, "borrowed connection": true} {
		b.Run(name, func(b *testing.B) {
			w := newGreyWorld(1, borrows, 0)
			defer w.end()
			s := w.callers[0].session
			s.Run(context.Background(), statement.Request{ID: "1", Kind: statement.Prepare, Name: "s1", Value: strings.Repeat("q", 64)})
			w.endpoints.expected["2"] = expectation{shape: strings.Repeat("q", 64)}
			r := statement.Request{ID: "2", Kind: statement.Execute, Name: "s1", Value: "item"}
			for b.Loop() {
				w.endpoints.mu.Lock()
				w.endpoints.sent = w.endpoints.sent[:0]
				w.endpoints.mu.Unlock()
				if a := s.Run(context.Background(), r); a.Failure != nil {
					b.Fatal(a.Failure)
				}
			}
		})
	}
}
