// Package clock provides time and timers behind an interface, so that tests can control them.
package clock
