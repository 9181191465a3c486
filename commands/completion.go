package commands

import (
	"io"
	"strings"
)

func init() {
	register("completion", "Print a completion script for a shell.", &completionCommand{})
}

type completionCommand struct {
	Shell string `arg:"" help:"Shell to complete for." enum:"bash,zsh,fish"`
}

type completionReport struct {
	Shell  string `json:"shell"`
	Script string `json:"script"`
}

// Run prints a script that completes the commands, and file names after a command.
func (c *completionCommand) Run(out *Output) error {
	report := completionReport{Shell: c.Shell, Script: completionScript(c.Shell)}
	return out.print(report, func(w io.Writer) { printLine(w, "%s", report.Script) })
}

func completionScript(shell string) string {
	names := make([]string, 0, len(registered))
	for _, c := range registered {
		names = append(names, c.Name)
	}
	all := strings.Join(names, " ")
	switch shell {
	case "fish":
		return fishScript()
	case "zsh":
		return "autoload -U +X bashcompinit && bashcompinit\n" + bashScript(all)
	default:
		return bashScript(all)
	}
}

func bashScript(names string) string {
	return `_siskincove() {
    local word="${COMP_WORDS[COMP_CWORD]}"
    if [ "$COMP_CWORD" -eq 1 ]; then
        COMPREPLY=($(compgen -W "` + names + `" -- "$word"))
    else
        COMPREPLY=($(compgen -f -- "$word"))
    fi
}
complete -F _siskincove siskincove`
}

func fishScript() string {
	lines := make([]string, 0, len(registered))
	for _, c := range registered {
		lines = append(lines, "complete -c siskincove -n __fish_use_subcommand -f -a "+c.Name+" -d '"+strings.ReplaceAll(c.Help, "'", "")+"'")
	}
	return strings.Join(lines, "\n")
}
