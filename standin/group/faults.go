package group

import "time"

// Faults are what a member is made to suffer; the zero value is a healthy member.
type Faults struct {
	// Killed closes the listener and every connection; the log is kept.
	Killed bool
	// Frozen stops all processing, as a paused machine would.
	Frozen bool
	// CutPeers separates the member from the other members only.
	CutPeers bool
	// CutCallers separates the member from its callers only.
	CutCallers bool
	// ReceiveLag delays records on their way to the member.
	ReceiveLag time.Duration
	// ApplyLag delays the application of received records.
	ApplyLag time.Duration
	// LoseCommit drops the answer to the next commit after its effect.
	LoseCommit bool
	// LoseControl drops the answer to the next promote after its effect.
	LoseControl bool
}
