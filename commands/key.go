package commands

import (
	"bufio"
	"crypto/rand"
	"io"
	"os"
	"strings"

	"github.com/cockroachdb/errors"

	"siskincove/config"
)

func init() {
	register("key", "Print the hash of a key of a workspace, which is read from standard input, or create a key.", &keyCommand{})
}

type keyCommand struct {
	Create bool `help:"Create a random key and print it with its hash."`
}

type keyReport struct {
	Key  string         `json:"key,omitempty"`
	Hash config.KeyHash `json:"hash"`
}

// Run prints the hash of the key on standard input, or a new key and its hash.
func (c *keyCommand) Run(out *Output) error {
	if c.Create {
		key := rand.Text()
		return printKey(out, keyReport{Key: key, Hash: config.HashKey(key)})
	}
	key, err := bufio.NewReader(os.Stdin).ReadString('\n')
	if err != nil && !errors.Is(err, io.EOF) {
		return errors.Wrap(err, "reading the key")
	}
	key = strings.TrimRight(key, "\r\n")
	if key == "" {
		return &ExitError{Code: ExitInvalid, Cause: errors.New("no key on standard input")}
	}
	return printKey(out, keyReport{Hash: config.HashKey(key)})
}

func printKey(out *Output, report keyReport) error {
	return out.print(report, func(w io.Writer) {
		if report.Key != "" {
			printLine(w, "key  %s", report.Key)
			printLine(w, "hash %x", report.Hash)
			return
		}
		printLine(w, "%x", report.Hash)
	})
}
