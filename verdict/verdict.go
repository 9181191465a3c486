package verdict

// Verdict tells whether a request took effect.
type Verdict uint8

const (
	// MayHaveRun means that the request was sent and its outcome is unknown.
	MayHaveRun Verdict = iota
	// NotRun means that the request certainly had no effect.
	NotRun
	// Ran means that the request took effect and was answered.
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
