package config

// workspaceIndex finds workspaces by their names and by the hashes of their keys. It is immutable, so that all catalogs of
// one configuration share it.
type workspaceIndex struct {
	byName map[string]*Workspace
	// byKey maps a key that several workspaces list to nil.
	byKey map[KeyHash]*Workspace
}

func newWorkspaceIndex(workspaces []Workspace) *workspaceIndex {
	keys := 0
	for _, w := range workspaces {
		keys += len(w.Keys)
	}
	x := &workspaceIndex{byName: make(map[string]*Workspace, len(workspaces)), byKey: make(map[KeyHash]*Workspace, keys)}
	for i := range workspaces {
		w := &workspaces[i]
		x.byName[w.Name] = w
		for _, key := range w.Keys {
			x.addKey(key, w)
		}
	}
	return x
}

func (x *workspaceIndex) addKey(key KeyHash, w *Workspace) {
	owner, listed := x.byKey[key]
	switch {
	case key == emptyKeyHash:
	case listed && owner != w:
		x.byKey[key] = nil
	default:
		x.byKey[key] = w
	}
}
