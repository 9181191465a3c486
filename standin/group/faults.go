package group

import "time"

// Faults are the injected faults of a member; the zero value is a healthy member.
type Faults struct {
	// Killed closes the listener and every connection; the log is kept.
	Killed bool
	// Frozen stops all processing, like a paused machine.
	Frozen bool
	// CutPeers cuts the member off from the other members only.
	CutPeers bool
	// CutCallers cuts the member off from its clients, such as instances, only.
	CutCallers bool
	// ReceiveLag delays the arrival of records at the member.
	ReceiveLag time.Duration
	// ApplyLag delays the application of received records.
	ApplyLag time.Duration
	// LoseCommit drops the answer to the next commit after it took effect.
	LoseCommit bool
	// LoseControl drops the answer to the next promotion after it took effect.
	LoseControl bool
}
