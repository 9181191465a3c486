package config

import (
	"encoding/json"
	"fmt"
	"slices"
)

// Change is one object that differs between two sets.
type Change struct {
	Action string `json:"action"`
	Kind   Kind   `json:"kind"`
	Name   string `json:"name"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

const (
	// ActionAdd is a new object.
	ActionAdd = "add"
	// ActionChange is an object that differs.
	ActionChange = "change"
	// ActionRemove is an object that is gone.
	ActionRemove = "remove"
)

// Diff lists what must change to turn before into after, by kind and name.
func Diff(before, after Set) []Change {
	var out []Change
	out = diff(out, KindService, before.Services, after.Services, func(o Service) string { return o.Name })
	out = diff(out, KindDatabase, before.Databases, after.Databases, func(o Database) string { return o.Name })
	out = diff(out, KindEndpoint, before.Endpoints, after.Endpoints, func(o Endpoint) string { return o.Name })
	out = diff(out, KindRoute, before.Routes, after.Routes, func(o Route) string { return o.Name })
	out = diff(out, KindAllowance, before.Allowances, after.Allowances, func(o Allowance) string { return o.Name })
	out = diff(out, KindLimit, before.Limits, after.Limits, func(o Limit) string { return o.Name })
	return diff(out, KindCaller, before.Callers, after.Callers, func(o Caller) string { return o.Name })
}

func diff[T any](out []Change, kind Kind, before, after []T, name func(T) string) []Change {
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
		if c, differs := compare(kind, n, old, next); differs {
			out = append(out, c)
		}
	}
	return out
}

func compare[T any](kind Kind, name string, old, next map[string]T) (Change, bool) {
	a, had := old[name]
	b, has := next[name]
	c := Change{Kind: kind, Name: name, Action: ActionChange}
	if had {
		c.Before = text(a)
	} else {
		c.Action = ActionAdd
	}
	if has {
		c.After = text(b)
	} else {
		c.Action = ActionRemove
	}
	return c, c.Before != c.After
}

// text shows an object without its secrets.
func text(object any) string {
	switch o := object.(type) {
	case Database:
		o.Password = masked(o.Password)
		object = o
	case Caller:
		o.Verifier = masked(o.Verifier)
		object = o
	}
	data, err := json.Marshal(object)
	if err != nil {
		return fmt.Sprintf("%v", err)
	}
	return string(data)
}
