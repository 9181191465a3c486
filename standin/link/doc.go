// Package link adds network delay, bandwidth and partitions to connections between the processes of a test or experiment.
package link
