// Package queue lets goroutines wait for the slots that limit.Admission grants.
package queue
