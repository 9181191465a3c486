// Package queue lets goroutines wait for what limit.Admission grants.
package queue
