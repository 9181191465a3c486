// Package instance wires the parts of one instance together: entry, owner, coordinators, membership and configuration.
package instance
