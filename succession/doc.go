// Package succession replaces the primary of a group whose platform promotes endpoints on request. No acknowledged commit
// is lost, and concurrent attempts of several instances do not undo each other.
//
// A succession is one such failover attempt. It takes a hold on replicas: a held replica receives nothing more from the
// primary until the hold is released. Every hold has a term, by which holds of different successions differ. A
// promotion request to the platform carries a fencing token; the platform refuses requests with a lower token.
//
// Detector and Succession are pure state machines without a clock; Coordinator probes the endpoints and carries out their
// commands.
package succession
