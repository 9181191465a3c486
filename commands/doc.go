// Package commands implements the commands of the siskincove tool, one file for each.
package commands
