// Package clock is the timer service that other parts subscribe to.
package clock
