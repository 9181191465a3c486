package commands

import (
	"github.com/alecthomas/kong"
)

// Verb is one command of the tool: its options are the fields of a struct with a Run method.
type Command struct {
	Name    string
	Help    string
	Options any
}

var verbs []Command

// register adds a verb; each command's file calls it once.
func register(name, help string, command any) {
	verbs = append(verbs, Command{Name: name, Help: help, Options: command})
}

// Verbs returns every registered verb, in order of file name.
func Commands() []Command { return verbs }

// Options returns the parser's options that make up all verbs.
func Options() []kong.Option {
	out := make([]kong.Option, 0, len(verbs))
	for _, v := range verbs {
		out = append(out, kong.DynamicCommand(v.Name, v.Help, "", v.Options))
	}
	return out
}
