// Command siskincoved is the daemon, which runs one instance of the proxy.
package main
