package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"siskincove/commands"
)

type options struct {
	Output string `short:"o" help:"Output format: text or json." enum:"text,json" default:"text"`
}

func main() {
	var o options
	parser, err := kong.New(&o, append([]kong.Option{
		kong.Name("siskincove"),
		kong.Description("Operates a database proxy with session consistency through declarative objects."),
		kong.UsageOnError(),
		kong.Exit(exit),
	}, commands.Options()...)...)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(commands.ExitInvalid)
	}
	parsed, err := parser.Parse(os.Args[1:])
	parser.FatalIfErrorf(err)
	if err := parsed.Run(&commands.Output{Writer: os.Stdout, Format: o.Output}); err != nil {
		if message := err.Error(); message != "" {
			fmt.Fprintln(os.Stderr, "siskincove:", message)
		}
		os.Exit(commands.ExitCode(err))
	}
}

// exit replaces the parser's own exit code for invalid arguments by ExitInvalid.
func exit(code int) {
	if code != 0 {
		code = commands.ExitInvalid
	}
	os.Exit(code)
}
