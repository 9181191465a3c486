package config

import (
	"encoding/json"
	"fmt"
	"slices"
)

// Change is one object that differs between two sets. Before and After are its JSON with the secrets masked, empty where
// the object does not exist.
type Change struct {
	Action string `json:"action"`
	Kind   Kind   `json:"kind"`
	Name   string `json:"name"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

const (
	// ActionAdd marks an object that only the new set has.
	ActionAdd = "add"
	// ActionChange marks an object that differs between the sets.
	ActionChange = "change"
	// ActionRemove marks an object that only the old set has.
	ActionRemove = "remove"
)

// Diff returns the changes that turn before into after, ordered by kind and name.
func Diff(before, after Set) []Change {
	var out []Change
	out = diffObjects(out, KindService, before.Services, after.Services, func(o Service) string { return o.Name })
	out = diffObjects(out, KindDatabase, before.Databases, after.Databases, func(o Database) string { return o.Name })
	out = diffObjects(out, KindEndpoint, before.Endpoints, after.Endpoints, func(o Endpoint) string { return o.Name })
	out = diffObjects(out, KindRoute, before.Routes, after.Routes, func(o Route) string { return o.Name })
	out = diffObjects(out, KindAllowance, before.Allowances, after.Allowances, func(o Allowance) string { return o.Name })
	out = diffObjects(out, KindLimit, before.Limits, after.Limits, func(o Limit) string { return o.Name })
	out = diffObjects(out, KindCaller, before.Callers, after.Callers, func(o Caller) string { return o.Name })
	return diffObjects(out, KindWorkspace, before.Workspaces, after.Workspaces, func(o Workspace) string { return o.Name })
}

func diffObjects[T any](out []Change, kind Kind, before, after []T, name func(T) string) []Change {
	old, next := index(before, name), index(after, name)
	names := make([]string, 0, len(old)+len(next))
	for n := range old {
		names = append(names, n)
	}
	for n := range next {
		if _, ok := old[n]; !ok {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	for _, n := range names {
		if c, differs := compareObject(kind, n, old, next); differs {
			out = append(out, c)
		}
	}
	return out
}

func compareObject[T any](kind Kind, name string, old, next map[string]T) (Change, bool) {
	a, had := old[name]
	b, has := next[name]
	c := Change{Kind: kind, Name: name, Action: ActionChange}
	if had {
		c.Before = encode(redacted(a))
	} else {
		c.Action = ActionAdd
	}
	if has {
		c.After = encode(redacted(b))
	} else {
		c.Action = ActionRemove
	}
	// Different secrets can look the same once they are masked.
	return c, !had || !has || encode(a) != encode(b)
}

// redacted returns an object with its secrets masked.
func redacted(object any) any {
	switch o := object.(type) {
	case Database:
		o.Password = masked(o.Password)
		return o
	case Caller:
		o.Verifier = masked(o.Verifier)
		return o
	case Workspace:
		return o.masked()
	default:
		return object
	}
}

// encode returns the JSON of an object.
func encode(object any) string {
	data, err := json.Marshal(object)
	if err != nil {
		return fmt.Sprintf("%v", err)
	}
	return string(data)
}
