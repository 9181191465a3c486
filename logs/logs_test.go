package logs

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// exampleLog has a request that was served in time, one that was late, one that is refused after two attempts, one that may
// have run, and lines that can't be read.
var exampleLog = strings.Join([]string{
	`one time=2026-12-04T10:00:00.100000Z level=info message="request served" event=207 request=a took=5ms tries=1`,
	`one time=2026-12-04T10:00:00.200000Z level=info message="request served" choice=replica database=db event=207 late=true request=b took=900ms tries=3`,
	`one time=2026-12-04T10:00:01.000000Z level=warn message="statement failed at an endpoint" error="endpoint answered BEHIND: r1 (not run: stale)" event=208 request=c`,
	`two time=2026-12-04T10:00:01.050000Z level=info message="loan refused" event=413 request=c`,
	`one time=2026-12-04T10:00:01.100000Z level=warn message="statement failed at an endpoint" error="no answer (may have run: broken): reset" event=208 request=c`,
	`one time=2026-12-04T10:00:01.200000Z level=warn message="request refused" cause="gave up" choice=replica database=db event=203 workspace=blue reason=stale request=c took=300ms tries=2 verdict="not run"`,
	`one time=2026-12-04T10:00:01.300000Z level=warn message="request refused" cause="no primary of db is known (not run: unreachable)" database=db event=203 workspace=blue reason=unreachable request=d took=100ms tries=0 verdict="not run"`,
	`one time=2026-12-04T10:00:01.350000Z level=warn message="request refused" cause="no primary of db is known (not run: unreachable)" database=db event=203 workspace=blue reason=unreachable request=g took=300ms tries=0 verdict="not run"`,
	`one time=2026-12-04T10:00:01.400000Z level=warn message="request refused" cause="no primary of db is known (not run: unreachable)" database=db event=203 workspace=red reason=unreachable request=e took=300ms tries=0 verdict="not run"`,
	`one time=2026-12-04T10:00:02.500000Z level=warn message="request refused" cause="cut (may have run: broken)" database=db event=203 reason=broken request=f took=1s tries=1 verdict="may have run"`,
	`one time=2026-12-04T10:00:02.600000Z level=warn message="request ref`,
	`panic: no line of ours`,
	strings.Repeat("x", 2*maxLineBytes),
	`one time=2026-12-04T10:00:02.700000Z level=info message=stopped event=102`,
}, "\n")

func readExample(t *testing.T, each func(Entry)) {
	t.Helper()
	var r Reader
	if err := r.Read(strings.NewReader(exampleLog), "file", each); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(Reader{Lines: 14, Malformed: 3}, r); diff != "" {
		t.Error(diff)
	}
}

// TestLosses checks what is counted as lost, under which cause and in which interval, and that lines that can't be read are
// counted and skipped.
func TestLosses(t *testing.T) {
	losses := NewLosses(2 * time.Second)
	readExample(t, losses.Add)
	start := time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC)
	const ms = time.Millisecond
	want := []Loss{
		{Start: start, Database: "db", Workspace: "blue", Outcome: Refused, Reason: "unreachable", Cause: "no primary of db is known", Requests: 2, Mean: 200 * ms, Longest: 300 * ms},
		{Start: start, Database: "db", Outcome: Late, Choice: "replica", Requests: 1, Tries: 3, Mean: 900 * ms, Longest: 900 * ms},
		{Start: start, Database: "db", Workspace: "blue", Outcome: Refused, Choice: "replica", Reason: "stale", Cause: "no answer: reset", Requests: 1, Tries: 2, Mean: 300 * ms, Longest: 300 * ms},
		{Start: start, Database: "db", Workspace: "red", Outcome: Refused, Reason: "unreachable", Cause: "no primary of db is known", Requests: 1, Mean: 300 * ms, Longest: 300 * ms},
		{Start: start.Add(2 * time.Second), Database: "db", Outcome: Failed, Reason: "broken", Cause: "cut", Requests: 1, Tries: 1, Mean: time.Second, Longest: time.Second},
	}
	if diff := cmp.Diff(want, losses.List()); diff != "" {
		t.Error(diff)
	}
}

// TestPath checks that a request's lines of all instances are found, ordered by time.
func TestPath(t *testing.T) {
	path := NewPath("c")
	var entries []Entry
	readExample(t, func(e Entry) { entries = append(entries, e) })
	for n := len(entries) - 1; n >= 0; n-- {
		path.Add(entries[n])
	}
	var got []string
	for _, e := range path.Entries() {
		got = append(got, e.Instance+" "+e.Field("message"))
	}
	want := []string{"one statement failed at an endpoint", "two loan refused", "one statement failed at an endpoint", "one request refused"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}
