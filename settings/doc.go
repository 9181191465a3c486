// Package settings loads and validates the TOML settings file of an instance. Each section has a Go file.
package settings
