// Package proof holds the proofs on real processes: what callers are promised, tried while processes are killed, frozen and cut off.
package proof
