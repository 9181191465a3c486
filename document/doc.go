// Package document decodes TOML files and records the line of each key, so that problems can be reported by file, line and
// key.
package document
