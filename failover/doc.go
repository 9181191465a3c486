// Package failover detects the loss of a primary and elects another. Ballot and Detector are pure state machines; Coordinator drives them for the databases that this instance coordinates.
package failover
