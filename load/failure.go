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

const codeAdminShutdown = "57P01"

// callerError is the information that an error gives to a caller; hasVerdict is false for errors without a verdict.
type callerError struct {
	refusal
	retryAfter time.Duration
	hasVerdict bool
}

// parseError returns the verdict of an error of a statement. After a broken connection the outcome is unknown, so the statement
// may have run. Nothing ran on a connection that the instance closed with the notice that it shuts down.
func parseError(err error) callerError {
	var failure *pgconn.PgError
	if !errors.As(err, &failure) {
		return callerError{refusal: refusal{verdict: verdict.MayHaveRun, reason: "connection"}}
	}
	if failure.Code == codeAdminShutdown {
		return callerError{refusal: refusal{verdict: verdict.NotRun, reason: verdict.Leaving}, hasVerdict: true}
	}
	m := detailPattern.FindStringSubmatch(failure.Detail)
	if m == nil {
		return callerError{refusal: refusal{verdict: verdict.MayHaveRun, reason: verdict.Reason("sqlstate" + failure.Code)}}
	}
	v := verdict.MayHaveRun
	if m[1] == verdict.NotRun.String() {
		v = verdict.NotRun
	}
	ms, _ := strconv.Atoi(m[3])
	return callerError{refusal: refusal{verdict: v, reason: verdict.Reason(m[2])}, retryAfter: time.Duration(ms) * time.Millisecond, hasVerdict: true}
}
