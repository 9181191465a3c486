package commands

import (
	"github.com/alecthomas/kong"
)

// Command is a command of the tool. Options is a pointer to a struct whose fields are its flags and arguments, and which
// has a Run method.
type Command struct {
	Name    string
	Help    string
	Options any
}

var registered []Command

// register adds a command. The file of each command calls it from init.
func register(name, help string, command any) {
	registered = append(registered, Command{Name: name, Help: help, Options: command})
}

// Commands returns the registered commands, ordered by file name.
func Commands() []Command { return registered }

// Options returns the parser options that define the registered commands.
func Options() []kong.Option {
	out := make([]kong.Option, 0, len(registered))
	for _, c := range registered {
		out = append(out, kong.DynamicCommand(c.Name, c.Help, "", c.Options))
	}
	return out
}
