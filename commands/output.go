package commands

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
)

// Output is where a command prints, and how.
type Output struct {
	Writer io.Writer
	Format string
}

// print writes the value as JSON, or in text by the given function.
func (o *Output) print(value any, text func(io.Writer)) error {
	if o.Format != "json" {
		text(o.Writer)
		return nil
	}
	encoder := json.NewEncoder(o.Writer)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(value), "output")
}

func line(w io.Writer, format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) }
