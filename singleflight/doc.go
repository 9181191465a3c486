// Package singleflight lets concurrent callers share one run of a fetch.
package singleflight
