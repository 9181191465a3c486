// Package failover decides when a primary is lost and runs the ballot that makes another one. Ballot and Watch are pure; Coordinator drives them for the databases that this instance coordinates.
package failover
