// Package limit decides which requests run now, wait or are refused. It implements admission to an endpoint's slots, the
// window of statements in flight, the retry budget and the circuit breaker. It uses no clock; callers pass the time.
package limit
