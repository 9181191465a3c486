// Package meter counts the bytes that connections carry.
package meter
