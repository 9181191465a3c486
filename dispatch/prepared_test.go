package dispatch

import (
	"testing"
	"testing/synctest"

	"siskincove/statement"
)

// equalChecksums are two texts with the same XXH64 checksum, whatever follows them.
var equalChecksums = [2]string{
	"--x3fujbselect-in-a-comment-24--0q5yghe1-the-second-block-of-32-",
	"--28ek0jselect-in-a-comment-24--hitppbqp-the-second-block-of-32-",
}

// TestPreparedTextsAreToldApart guards against a prepared statement that runs another caller's text, since that has the same checksum
// and was prepared on the connection before.
func TestPreparedTextsAreToldApart(t *testing.T) {
	for name, test := range map[string]struct{ borrows, writes bool }{
		"read": {}, "write": {writes: true}, "read over a holder": {borrows: true}, "write over a holder": {borrows: true, writes: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newGreyWorld(3, test.borrows, 0)
				defer w.end()
				// Every other caller is on the same route.
				callers := []*greyCaller{w.callers[0], w.callers[2]}
				for n, text := range equalChecksums {
					for _, r := range []statement.Request{{Kind: statement.Prepare, Name: "s1", Value: text, Writes: test.writes}, execute("s1"), execute("s1")} {
						if a := w.ask(callers[n], r); a.Failure != nil {
							t.Errorf("%s: %v", r.Kind, a.Failure)
						}
					}
				}
				w.dispatcher.background.Wait()
				for _, v := range w.endpoints.violations {
					t.Error(v)
				}
			})
		})
	}
}
