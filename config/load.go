package config

import (
	"os"
	"path/filepath"
	"slices"
	"strings"

	"siskincove/document"
)

// Source is a set with the place of each object, for messages of check.
type Source struct {
	Set    Set
	places map[reference]origin
}

// reference names the i-th object of a kind in a set.
type reference struct {
	kind  Kind
	index int
}

// origin is an object's place: its document and its index there.
type origin struct {
	document document.Document
	index    int
}

// Load reads every .toml file of a directory, or one file, into a source.
func Load(path string) (*Source, document.Problems) {
	files, problems := files(path)
	s := &Source{places: make(map[reference]origin)}
	for _, file := range files {
		var part Set
		d, found := document.Load(file, &part)
		problems = append(problems, found...)
		s.add(d, part)
	}
	return s, problems
}

// ParseSource reads one TOML text into a source.
func ParseSource(file string, data []byte) (*Source, document.Problems) {
	s := &Source{places: make(map[reference]origin)}
	var part Set
	d, problems := document.Parse(file, data, &part)
	s.add(d, part)
	return s, problems
}

func files(path string) ([]string, document.Problems) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, document.Problems{{Place: document.Place{File: path}, Message: "no such file or directory"}}
	}
	if !info.IsDir() {
		return []string{path}, nil
	}
	entries, err := os.ReadDir(path)
	if err != nil {
		return nil, document.Problems{{Place: document.Place{File: path}, Message: err.Error()}}
	}
	var out []string
	for _, entry := range entries {
		if strings.HasSuffix(entry.Name(), ".toml") {
			out = append(out, filepath.Join(path, entry.Name()))
		}
	}
	slices.Sort(out)
	if len(out) == 0 {
		return nil, document.Problems{{Place: document.Place{File: path}, Message: "no .toml files"}}
	}
	return out, nil
}

func (s *Source) add(d document.Document, part Set) {
	s.Set.Services = merge(s, d, KindService, s.Set.Services, part.Services)
	s.Set.Databases = merge(s, d, KindDatabase, s.Set.Databases, part.Databases)
	s.Set.Endpoints = merge(s, d, KindEndpoint, s.Set.Endpoints, part.Endpoints)
	s.Set.Routes = merge(s, d, KindRoute, s.Set.Routes, part.Routes)
	s.Set.Allowances = merge(s, d, KindAllowance, s.Set.Allowances, part.Allowances)
	s.Set.Limits = merge(s, d, KindLimit, s.Set.Limits, part.Limits)
	s.Set.Callers = merge(s, d, KindCaller, s.Set.Callers, part.Callers)
}

func merge[T any](s *Source, d document.Document, kind Kind, all, part []T) []T {
	for i := range part {
		s.places[reference{kind, len(all) + i}] = origin{document: d, index: i}
	}
	return append(all, part...)
}

// problem returns a problem at a key of the index-th object of a kind.
func (s *Source) problem(kind Kind, index int, key, message string) document.Problem {
	o, ok := s.places[reference{kind, index}]
	if !ok {
		return document.Problem{Key: document.Key(string(kind), index, key), Message: message}
	}
	place := o.document.Place(document.Key(string(kind), o.index, key))
	return document.Problem{Place: place, Key: string(kind) + "." + key, Message: message}
}
