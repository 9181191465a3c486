// Package verdict classifies failed requests by what is known of their effect: the request certainly had none, it ran, or
// its outcome is unknown. Each error also names the reason of the failure.
package verdict
