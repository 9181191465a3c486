package cluster

import "time"

// Options say what to start.
type Options struct {
	// Binaries is the directory of the built programs.
	Binaries string
	// Directory is where settings and logs go.
	Directory string
	// Domains are the failure domains of the instances, as region/domain; their number is the number of instances.
	Domains []string
	Groups  []Group
	// Level is the instances' log level, info when empty.
	Level string
	// Link routes connections between instances through a proxy that adds Between and Regions, one way, and can cut.
	Link           bool
	BetweenDomains time.Duration
	BetweenRegions time.Duration
	// Settings is added to every instance's settings file.
	Settings string
}

// Group says how to start one database group.
type Group struct {
	Database       string
	Vendor         string
	Domains        []string
	Slots          int
	Connections    int
	ConnectDelay   time.Duration
	Work           time.Duration
	BetweenDomains time.Duration
	BetweenRegions time.Duration
	ReceiveLag     time.Duration
	// Certificate and Key are shown by the members; empty leaves them in plain text.
	Certificate string
	Key         string
	// TLS is how the database object asks for it.
	TLS      string
	ApplyLag time.Duration
}
