package config

import (
	"os"
	"path/filepath"
	"slices"
	"strings"

	"siskincove/document"
)

// Source is a set with the file and line of each object, for the messages of Check.
type Source struct {
	Set     Set
	origins map[objectIndex]origin
}

// objectIndex identifies an object by its kind and its index among the objects of that kind in the set.
type objectIndex struct {
	kind  Kind
	index int
}

// origin is the document that declares an object and the object's index there.
type origin struct {
	document document.Document
	index    int
}

// Load reads one file, or every .toml file of a directory, into a source.
func Load(path string) (*Source, document.Problems) {
	files, problems := tomlFiles(path)
	s := &Source{origins: make(map[objectIndex]origin)}
	for _, file := range files {
		var part Set
		d, fileProblems := document.Load(file, &part)
		problems = append(problems, fileProblems...)
		s.add(d, part)
	}
	return s, problems
}

// ParseSource parses a TOML document into a source; file is its name in messages.
func ParseSource(file string, data []byte) (*Source, document.Problems) {
	s := &Source{origins: make(map[objectIndex]origin)}
	var part Set
	d, problems := document.Parse(file, data, &part)
	s.add(d, part)
	return s, problems
}

func tomlFiles(path string) ([]string, document.Problems) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, document.Problems{{Location: document.Location{File: path}, Message: "no such file or directory"}}
	}
	if !info.IsDir() {
		return []string{path}, nil
	}
	entries, err := os.ReadDir(path)
	if err != nil {
		return nil, document.Problems{{Location: document.Location{File: path}, Message: err.Error()}}
	}
	var out []string
	for _, entry := range entries {
		if strings.HasSuffix(entry.Name(), ".toml") {
			out = append(out, filepath.Join(path, entry.Name()))
		}
	}
	slices.Sort(out)
	if len(out) == 0 {
		return nil, document.Problems{{Location: document.Location{File: path}, Message: "no .toml files"}}
	}
	return out, nil
}

func (s *Source) add(d document.Document, part Set) {
	s.Set.Services = appendObjects(s, d, KindService, s.Set.Services, part.Services)
	s.Set.Databases = appendObjects(s, d, KindDatabase, s.Set.Databases, part.Databases)
	s.Set.Endpoints = appendObjects(s, d, KindEndpoint, s.Set.Endpoints, part.Endpoints)
	s.Set.Routes = appendObjects(s, d, KindRoute, s.Set.Routes, part.Routes)
	s.Set.Allowances = appendObjects(s, d, KindAllowance, s.Set.Allowances, part.Allowances)
	s.Set.Limits = appendObjects(s, d, KindLimit, s.Set.Limits, part.Limits)
	s.Set.Callers = appendObjects(s, d, KindCaller, s.Set.Callers, part.Callers)
	s.Set.Workspaces = appendObjects(s, d, KindWorkspace, s.Set.Workspaces, part.Workspaces)
}

func appendObjects[T any](s *Source, d document.Document, kind Kind, all, part []T) []T {
	for i := range part {
		s.origins[objectIndex{kind, len(all) + i}] = origin{document: d, index: i}
	}
	return append(all, part...)
}

// problem returns a problem at a key of the object of a kind at index.
func (s *Source) problem(kind Kind, index int, key, message string) document.Problem {
	o, ok := s.origins[objectIndex{kind, index}]
	if !ok {
		return document.Problem{Key: document.Key(string(kind), index, key), Message: message}
	}
	location := o.document.Location(document.Key(string(kind), o.index, key))
	return document.Problem{Location: location, Key: string(kind) + "." + key, Message: message}
}
