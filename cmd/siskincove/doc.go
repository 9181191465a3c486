// Command siskincove is the operators' tool. It checks, plans and publishes objects, shows the published objects and the
// status of instances, and runs load tests.
package main
