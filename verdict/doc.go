// Package verdict classifies failed requests by whether they may have run.
package verdict
