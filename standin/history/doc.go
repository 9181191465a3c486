// Package history checks a recorded history of callers' operations and endpoints' executions against the guarantees
// given to callers.
package history
