// Package load drives a service like its users do, at a given rate from a given seed, and checks every answer against what was acknowledged.
package load
