// Package link adds delay and cuts to connections between the processes of a test or an experiment.
package link
