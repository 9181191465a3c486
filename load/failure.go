package load

import (
	"regexp"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgconn"

	"siskincove/verdict"
)

var detailPattern = regexp.MustCompile(`^verdict="([^"]+)" reason=(\w+) retry_after_ms=(\d+)$`)

const codeShutdown = "57P01"

// told is what an error says to a caller; known is false for errors that carry no verdict.
type told struct {
	refusal
	after time.Duration
	known bool
}

// readError reads the verdict that an error carries. A connection that broke tells nothing, so what was sent on it may
// have run; one that could not be opened, or was ended with the instance's notice, sent nothing that ran.
func readError(err error) told {
	var failure *pgconn.PgError
	if !errors.As(err, &failure) {
		return told{refusal: refusal{verdict: verdict.MayHaveRun, reason: "connection"}}
	}
	if failure.Code == codeShutdown {
		return told{refusal: refusal{verdict: verdict.NotRun, reason: verdict.Leaving}, known: true}
	}
	m := detailPattern.FindStringSubmatch(failure.Detail)
	if m == nil {
		return told{refusal: refusal{verdict: verdict.MayHaveRun, reason: verdict.Reason("sqlstate" + failure.Code)}}
	}
	v := verdict.MayHaveRun
	if m[1] == verdict.NotRun.String() {
		v = verdict.NotRun
	}
	ms, _ := strconv.Atoi(m[3])
	return told{refusal: refusal{verdict: v, reason: verdict.Reason(m[2])}, after: time.Duration(ms) * time.Millisecond, known: true}
}
