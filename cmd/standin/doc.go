// Command standin runs stand-ins for a database group, for the platform and for the network, for tests and experiments.
package main
