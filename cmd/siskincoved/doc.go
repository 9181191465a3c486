// Command siskincoved is the daemon: one instance of the proxy.
package main
