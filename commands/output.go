package commands

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
)

// Output is the destination of a command's output and its format, text or json.
type Output struct {
	Writer io.Writer
	Format string
}

// print writes the value as JSON, or calls text to write it as text.
func (o *Output) print(value any, text func(io.Writer)) error {
	if o.Format != "json" {
		text(o.Writer)
		return nil
	}
	encoder := json.NewEncoder(o.Writer)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(value), "writing output")
}

func printLine(w io.Writer, format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) }
