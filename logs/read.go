package logs

import (
	"bufio"
	"io"
	"strings"

	"github.com/cockroachdb/errors"

	"siskincove/event"
)

// maxLineBytes bounds a line; a longer one is malformed.
const maxLineBytes = 64 << 10

// Entry is a line of an instance's log.
type Entry struct {
	event.Line
	// Instance is the name that the line's prefix ends with or, without a prefix, the name of the input.
	Instance string
}

// Reader reads the logs of one or more instances from one or more inputs.
type Reader struct {
	// Lines and Malformed are how many lines were read, and how many of them were skipped as malformed.
	Lines, Malformed int
}

// Read calls each with every well-formed line of an input, in the input's order. name is the input's name.
func (r *Reader) Read(in io.Reader, name string, each func(Entry)) error {
	buffered := bufio.NewReaderSize(in, maxLineBytes)
	for {
		text, complete, err := readLine(buffered)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Wrapf(err, "reading %s", name)
		}
		r.Lines++
		line, err := event.ParseLine(text)
		if !complete || err != nil {
			r.Malformed++
			continue
		}
		each(Entry{Line: line, Instance: instanceName(line.Prefix, name)})
	}
}

// readLine returns the next line without its line feed. complete is false if the line is longer than maxLineBytes; the rest of
// it is skipped.
func readLine(in *bufio.Reader) (text string, complete bool, err error) {
	line, more, err := in.ReadLine()
	if err != nil {
		return "", false, err
	}
	text, complete = string(line), !more
	for more && err == nil {
		_, more, err = in.ReadLine()
	}
	if errors.Is(err, io.EOF) {
		err = nil
	}
	return text, complete, err
}

func instanceName(prefix, input string) string {
	if words := strings.Fields(prefix); len(words) > 0 {
		return words[len(words)-1]
	}
	return input
}
