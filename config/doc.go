// Package config defines the configuration objects that operators declare. It validates sets of objects, compares two sets
// and publishes a set to the store.
package config
