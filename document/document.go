package document

import (
	"bytes"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Document is a parsed TOML file with the line of each of its keys.
type Document struct {
	file  string
	lines map[string]int
}

// Load reads the file into a struct, refusing keys that the struct does not have.
func Load(file string, into any) (Document, Problems) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Document{}, Problems{{Location: Location{File: file}, Message: cause(err)}}
	}
	return Parse(file, data, into)
}

func cause(err error) string {
	var path *os.PathError
	if errors.As(err, &path) {
		return path.Err.Error()
	}
	return err.Error()
}

// Parse reads TOML text into a struct, refusing keys that the struct does not have.
func Parse(file string, data []byte, into any) (Document, Problems) {
	d := Document{file: file, lines: lines(data)}
	err := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields().Decode(into)
	if err == nil {
		return d, nil
	}
	return d, d.problems(err)
}

func (d Document) problems(err error) Problems {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		out := make(Problems, 0, len(strict.Errors))
		for _, e := range strict.Errors {
			out = append(out, d.decodeProblem(&e, "unknown key"))
		}
		return out
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		return Problems{d.decodeProblem(decode, strings.TrimPrefix(decode.Error(), "toml: "))}
	}
	return Problems{{Location: Location{File: d.file}, Message: strings.TrimPrefix(err.Error(), "toml: ")}}
}

func (d Document) decodeProblem(e *toml.DecodeError, message string) Problem {
	line, _ := e.Position()
	return Problem{Location: Location{File: d.file, Line: line}, Key: strings.Join(e.Key(), "."), Message: message}
}

// Place returns where a key stands, named as section.key or section[index].key; a missing key gives its section's line.
func (d Document) Location(key string) Location {
	for {
		if line, ok := d.lines[key]; ok {
			return Location{File: d.file, Line: line}
		}
		cut := strings.LastIndexByte(key, '.')
		if cut < 0 {
			return Location{File: d.file}
		}
		key = key[:cut]
	}
}

// Problem returns a problem at a key.
func (d Document) Problem(key, message string) Problem {
	return Problem{Location: d.Location(key), Key: key, Message: message}
}

// lines maps each key of the text to its line.
func lines(data []byte) map[string]int {
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
			section = indexed(name, counts[name])
			counts[name]++
			out[section] = line
		case unstable.KeyValue:
			out[joinKey(section, name)] = line
		}
	}
	return out
}

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
