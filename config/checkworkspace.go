package config

import (
	"strings"
	"unicode"
)

// workspaces checks the workspaces. A workspace without keys is of use only if callers name it.
func (c *checker) workspaces() {
	owners := make(map[KeyHash]int)
	for i, o := range c.source.Set.Workspaces {
		c.workspaceKeys(i, o, owners)
		c.workspaceLimits(i, o)
		if strings.ContainsFunc(o.Name, func(r rune) bool { return !unicode.IsGraphic(r) }) {
			c.report(KindWorkspace, i, "name", "%q has a character that can't be printed", o.Name)
		}
		if o.Name != "" && len(o.Keys) == 0 && !c.referenced[objectName{KindWorkspace, o.Name}] {
			c.report(KindWorkspace, i, "keys", "missing; give the hash of a key, or name the workspace in a caller")
		}
	}
}

// workspaceKeys reports the keys that the workspace lists twice, that are empty or that another workspace lists. owners maps
// each key to the index of the first workspace that lists it.
func (c *checker) workspaceKeys(i int, o Workspace, owners map[KeyHash]int) {
	for n, key := range o.Keys {
		owner, listed := owners[key]
		switch {
		case key.IsEmpty():
			c.report(KindWorkspace, i, "keys", "key %d is the hash of an empty key", n+1)
		case listed && owner == i:
			c.report(KindWorkspace, i, "keys", "key %d is listed twice", n+1)
		case listed:
			c.report(KindWorkspace, i, "keys", "workspace %q has key %d too", c.source.Set.Workspaces[owner].Name, n+1)
		default:
			owners[key] = i
		}
	}
}

func (c *checker) workspaceLimits(i int, o Workspace) {
	switch {
	case o.Rate == 0:
		c.report(KindWorkspace, i, "rate", "missing; give the operations per second that the workspace may run")
	case !validAmount(o.Rate, 0):
		c.report(KindWorkspace, i, "rate", "%g is not between 0 and %g", o.Rate, float64(MaxRate))
	}
	if !validAmount(o.Burst, 1) {
		c.report(KindWorkspace, i, "burst", "%g is not between 1 and %g", o.Burst, float64(MaxRate))
	}
	if o.Priority < 0 {
		c.report(KindWorkspace, i, "priority", "%d is negative", o.Priority)
	}
}
