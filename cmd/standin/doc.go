// Command standin runs the stand-ins for a database group and for the platform, for tests and experiments.
package main
