// Package succession replaces the primary of a group whose platform promotes endpoints on request. No acknowledged commit
// is lost, and concurrent attempts of several instances do not undo each other. Detector and Succession are pure state
// machines without a clock; Coordinator probes the endpoints and carries out their commands.
package succession
