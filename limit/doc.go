// Package limit decides what may run now, what waits and what is refused: admission to an endpoint's slots, the retry budget and the circuit. It knows no clock; callers pass the time.
package limit
