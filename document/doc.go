// Package document reads TOML files and says at which file, line and key something stands.
package document
