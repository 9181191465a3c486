package cluster

import "time"

// Options configure a cluster.
type Options struct {
	// Binaries is the directory of the built programs.
	Binaries string
	// Directory is the directory for settings and logs.
	Directory string
	// Domains are the failure domains of the instances as region/domain, one instance for each.
	Domains []string
	Groups  []Group
	// Level is the instances' log level, info if empty.
	Level string
	// Link routes connections between instances through the link, which adds the one-way delays BetweenDomains and
	// BetweenRegions and can be cut.
	Link           bool
	BetweenDomains time.Duration
	BetweenRegions time.Duration
	// Settings is appended to every instance's settings file.
	Settings string
}

// Group configures one database group; the fields correspond to those of the standin group command.
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
	// Certificate and Key are the files of the members' certificate and key; without them the members use no TLS.
	Certificate string
	Key         string
	// TLS is the value of tls in the database object.
	TLS      string
	ApplyLag time.Duration
}
