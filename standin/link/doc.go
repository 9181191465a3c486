// Package link adds network delay and partitions to connections between the processes of a test or experiment.
package link
