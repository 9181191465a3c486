// Command experiment measures the whole system on the loopback interface. Run it from the root of the repository.
package main
