// Package experiment measures the whole system on loopback, at the sizes and delays of its users, with stand-ins for what lies outside.
package experiment
