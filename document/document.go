package document

import (
	"bytes"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Document holds the name of a parsed TOML file and the line of each of its keys.
type Document struct {
	file  string
	lines map[string]int
}

// Load decodes a TOML file into the struct that target points to. A key that the struct lacks is a problem.
func Load(file string, target any) (Document, Problems) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Document{}, Problems{{Location: Location{File: file}, Message: causeText(err)}}
	}
	return Parse(file, data, target)
}

// causeText returns the message of an error without the file name, which the problem has already.
func causeText(err error) string {
	var path *os.PathError
	if errors.As(err, &path) {
		return path.Err.Error()
	}
	return err.Error()
}

// Parse decodes TOML text into the struct that target points to. A key that the struct lacks is a problem.
func Parse(file string, data []byte, target any) (Document, Problems) {
	d := Document{file: file, lines: keyLines(data)}
	err := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields().Decode(target)
	if err == nil {
		return d, nil
	}
	return d, d.problems(err)
}

func (d Document) problems(err error) Problems {
	var unknownKeys *toml.StrictMissingError
	if errors.As(err, &unknownKeys) {
		out := make(Problems, 0, len(unknownKeys.Errors))
		for _, e := range unknownKeys.Errors {
			out = append(out, d.decodeProblem(&e, "unknown key"))
		}
		return out
	}
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		return Problems{d.decodeProblem(decodeErr, strings.TrimPrefix(decodeErr.Error(), "toml: "))}
	}
	return Problems{{Location: Location{File: d.file}, Message: strings.TrimPrefix(err.Error(), "toml: ")}}
}

func (d Document) decodeProblem(e *toml.DecodeError, message string) Problem {
	line, _ := e.Position()
	return Problem{Location: Location{File: d.file, Line: line}, Key: strings.Join(e.Key(), "."), Message: message}
}

// Location returns the location of a key, which has the form section.key or section[index].key. For a key that is not in
// the file it is the location of the section.
func (d Document) Location(key string) Location {
	for {
		if line, ok := d.lines[key]; ok {
			return Location{File: d.file, Line: line}
		}
		dot := strings.LastIndexByte(key, '.')
		if dot < 0 {
			return Location{File: d.file}
		}
		key = key[:dot]
	}
}

// Problem returns a problem at the location of a key.
func (d Document) Problem(key, message string) Problem {
	return Problem{Location: d.Location(key), Key: key, Message: message}
}

// keyLines maps each key of the text to its line.
func keyLines(data []byte) map[string]int {
	out := make(map[string]int)
	counts := make(map[string]int)
	section := ""
	var parser unstable.Parser
	parser.Reset(data)
	for parser.NextExpression() {
		node := parser.Expression()
		name, line := keyOf(&parser, node)
		switch node.Kind {
		case unstable.Table:
			section = name
			out[section] = line
		case unstable.ArrayTable:
			section = elementKey(name, counts[name])
			counts[name]++
			out[section] = line
		case unstable.KeyValue:
			out[joinKey(section, name)] = line
		}
	}
	return out
}

// keyOf returns the dotted key of an expression and its line.
func keyOf(parser *unstable.Parser, node *unstable.Node) (string, int) {
	var parts []string
	line := 0
	for it := node.Key(); it.Next(); {
		part := it.Node()
		parts = append(parts, string(part.Data))
		if line == 0 {
			line = parser.Shape(part.Raw).Start.Line
		}
	}
	return strings.Join(parts, "."), line
}
