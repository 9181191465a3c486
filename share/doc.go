// Package share lets concurrent callers share one run of a fetch.
package share
