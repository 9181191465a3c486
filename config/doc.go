// Package config holds the objects that operators declare, checks a whole set of them, shows the difference between two sets, and publishes a set.
package config
