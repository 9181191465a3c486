// Package commands holds the verbs of the operators' tool, a file for each.
package commands
