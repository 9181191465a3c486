// Package settings reads an instance's own TOML file, one Go file for each section.
package settings
