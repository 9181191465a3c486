package connection

// workspaceUsage counts the connections of a pool for one workspace.
type workspaceUsage struct {
	// open are all connections, including those being opened, inUse those that are not idle, and idleInTx those of them in a
	// transaction that awaits its next statement.
	open, inUse, idleInTx int
	// queued is the number of statements that wait for a slot, and waiting that of those that have one and wait for a connection.
	queued, waiting int
}

// exceeds reports whether the workspace has more statements than may be in flight.
func (w workspaceUsage) exceeds(inFlight int) bool {
	return w.queued+w.waiting+w.inUse-w.idleInTx > inFlight
}

// usage counts the connections of a pool by workspace.
type usage struct {
	// open is the number of connections, including those being opened.
	open        int
	byWorkspace map[string]workspaceUsage
}

func newUsage() usage { return usage{byWorkspace: make(map[string]workspaceUsage)} }

// of returns the counts of a workspace.
func (u *usage) of(workspace string) workspaceUsage { return u.byWorkspace[workspace] }

func (u *usage) set(workspace string, w workspaceUsage) {
	if w == (workspaceUsage{}) {
		delete(u.byWorkspace, workspace)
		return
	}
	u.byWorkspace[workspace] = w
}

// addOpen changes the number of open connections of a workspace.
func (u *usage) addOpen(workspace string, delta int) {
	w := u.of(workspace)
	w.open += delta
	u.open += delta
	u.set(workspace, w)
}

// addInUse changes the number of a workspace's connections that are in use.
func (u *usage) addInUse(workspace string, delta int) {
	w := u.of(workspace)
	w.inUse += delta
	u.set(workspace, w)
}

// addIdleInTx changes the number of a workspace's connections that are idle in a transaction.
func (u *usage) addIdleInTx(workspace string, delta int) {
	w := u.of(workspace)
	w.idleInTx += delta
	u.set(workspace, w)
}

// addQueued changes the number of a workspace's statements that wait for a slot.
func (u *usage) addQueued(workspace string, delta int) {
	w := u.of(workspace)
	w.queued += delta
	u.set(workspace, w)
}

// addWaiting changes the number of a workspace's statements that wait for a connection.
func (u *usage) addWaiting(workspace string, delta int) {
	w := u.of(workspace)
	w.waiting += delta
	u.set(workspace, w)
}
