package commands

import (
	"bufio"
	"io"
	"os"
	"strings"

	"github.com/cockroachdb/errors"

	"siskincove/verifier"
)

func init() {
	register("verifier", "Create the verifier of a caller's password, which is read from standard input.", &verifierCommand{})
}

type verifierCommand struct{}

type verifierReport struct {
	Verifier string `json:"verifier"`
}

// Run reads a password from standard input and prints its verifier.
func (c *verifierCommand) Run(out *Output) error {
	password, err := bufio.NewReader(os.Stdin).ReadString('\n')
	if err != nil && !errors.Is(err, io.EOF) {
		return errors.Wrap(err, "reading the password")
	}
	password = strings.TrimRight(password, "\r\n")
	if password == "" {
		return &ExitError{Code: ExitInvalid, Cause: errors.New("no password on standard input")}
	}
	text, err := verifier.New(password)
	if err != nil {
		return err
	}
	return out.print(verifierReport{Verifier: text}, func(w io.Writer) { printLine(w, "%s", text) })
}
