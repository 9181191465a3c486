package event

import (
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Line is a line that a Writer wrote, read back.
type Line struct {
	// Time is when the event was logged.
	Time time.Time
	// Prefix is the text before the line's time, such as the name that a log collector puts there.
	Prefix string
	// Number is the event's number.
	Number int
	text   string
}

// ParseLine parses a line without its line feed. It returns an error for text that a Writer does not write, such as a line
// that is cut off.
func ParseLine(text string) (Line, error) {
	prefix, rest, found := cutTime(text)
	if !found {
		return Line{}, errors.New("no time")
	}
	line := Line{Prefix: strings.TrimSpace(prefix), text: rest}
	stamp, numbered := "", false
	for rest != "" {
		name, value, remaining, err := nextField(rest)
		if err != nil {
			return Line{}, err
		}
		switch name {
		case "time":
			stamp = value
		case "event":
			if line.Number, err = strconv.Atoi(value); err != nil {
				return Line{}, errors.Wrap(err, "parsing the event's number")
			}
			numbered = true
		}
		rest = remaining
	}
	if !numbered {
		return Line{}, errors.New("no event number")
	}
	var err error
	line.Time, err = time.Parse(timeLayout, stamp)
	return line, errors.Wrap(err, "parsing the time")
}

// Field returns the value of a field, or "" if the line does not have it.
func (l Line) Field(name string) string {
	for rest := l.text; rest != ""; {
		key, value, remaining, err := nextField(rest)
		if err != nil {
			return ""
		}
		if key == name {
			return value
		}
		rest = remaining
	}
	return ""
}

// Text returns the line without its prefix.
func (l Line) Text() string { return l.text }

// cutTime splits the text before the field time, which starts a line.
func cutTime(text string) (prefix, rest string, found bool) {
	const start = "time="
	if strings.HasPrefix(text, start) {
		return "", text, true
	}
	at := strings.Index(text, " "+start)
	if at < 0 {
		return "", "", false
	}
	return text[:at], text[at+1:], true
}

// nextField returns the first field of a line's text, its value unquoted, and the text after it.
func nextField(text string) (name, value, rest string, err error) {
	name, value, found := strings.Cut(text, "=")
	if !found || name == "" || strings.ContainsAny(name, " \"") {
		return "", "", "", errors.New("field without a name or value")
	}
	if !strings.HasPrefix(value, `"`) {
		value, rest, _ = strings.Cut(value, " ")
		return name, value, rest, nil
	}
	quoted, err := strconv.QuotedPrefix(value)
	if err != nil {
		return "", "", "", errors.Wrapf(err, "parsing field %s", name)
	}
	rest, spaced := strings.CutPrefix(value[len(quoted):], " ")
	if rest != "" && !spaced {
		return "", "", "", errors.Newf("no space after field %s", name)
	}
	value, err = strconv.Unquote(quoted)
	return name, value, rest, errors.Wrapf(err, "parsing field %s", name)
}
