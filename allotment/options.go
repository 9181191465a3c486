package allotment

import (
	"siskincove/clock"
	"siskincove/config"
	"siskincove/event"
	"siskincove/member"
	"siskincove/peer"
)

// Members tells which instances there are.
type Members interface {
	// Known returns a placement over all instances that have not left, dead ones included.
	Known() *member.Placement
	// InstanceCount returns how many instances there are, and whether the roster is known.
	InstanceCount() (int, bool)
	// ProbeSoon requests a heartbeat to the instance at an address.
	ProbeSoon(address string)
}

// Options are the settings and dependencies of a keeper and of a limiter.
type Options struct {
	Self    member.Instance
	Clock   clock.Service
	Logger  *event.Logger
	Dialer  peer.Dialer
	Members Members
	Bounds  Bounds
	// Regions are the regions that have accounts; one of "" stands for all instances.
	Regions []string
	// Catalog returns the configuration in force, nil if there is none.
	Catalog func() *config.Catalog
	// WasListed reports whether the roster listed this instance before it started.
	WasListed func() bool
}
