package verdict

// Verdict tells what is known of the effect of a failed request.
type Verdict uint8

const (
	// MayHaveRun means that the request was sent and its outcome is unknown.
	MayHaveRun Verdict = iota
	// NotRun means that the request certainly had no effect: it did not run, or its transaction was rolled back.
	NotRun
	// Ran means that the request ran at the endpoint, which answered it, perhaps with a failure.
	Ran
)

// String returns the verdict's name as callers see it.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not run"
	case Ran:
		return "ran"
	default:
		return "may have run"
	}
}
