// Package proof holds the end-to-end tests: they run the programs as processes and check the guarantees to callers while
// processes are killed, suspended and partitioned.
package proof
