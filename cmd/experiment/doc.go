// Command experiment measures the whole system on loopback; run it from the root of the repository.
package main
