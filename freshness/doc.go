// Package freshness keeps the proof that the configuration in force is the newest, without which the keys in it may have been
// withdrawn, and decides whom to ask for the next one.
package freshness
