package connection

// reserve takes a place for a new connection of a workspace. If the pool is full it closes an idle connection for it; it returns
// false if there is none. The close has been passed to the network before reserve returns, so that the endpoint never counts more
// connections than the limit. p.mu must be held.
func (p *Pool) reserve(workspace string) bool {
	p.dropBroken()
	if p.isFull() && !p.evict(workspace) {
		return false
	}
	p.usage.addOpen(workspace, 1)
	p.usage.addInUse(workspace, 1)
	p.countOpen(1)
	return true
}

// freePlace returns the place of a connection that was in use, or was not opened. p.mu must be held.
func (p *Pool) freePlace(workspace string) {
	p.usage.addInUse(workspace, -1)
	p.usage.addOpen(workspace, -1)
	p.countOpen(-1)
	p.notifyPlaceFreed()
}

// closeInUse closes a connection that was in use. p.mu must be held.
func (p *Pool) closeInUse(h *PooledConn) {
	h.Close()
	p.freePlace(h.workspace)
}

// closeIdleAt closes an idle connection. p.mu must be held.
func (p *Pool) closeIdleAt(i int) {
	h := p.idle[i]
	p.idle = append(p.idle[:i], p.idle[i+1:]...)
	h.Close()
	p.usage.addOpen(h.workspace, -1)
	p.countIdle(-1)
	p.countOpen(-1)
	p.notifyPlaceFreed()
}

// evict closes an idle connection so that one of the given workspace can be opened, and returns false if none is idle. p.mu
// must be held.
func (p *Pool) evict(workspace string) bool {
	i := p.victim()
	if i < 0 {
		return false
	}
	p.recordEviction(p.idle[i], workspace)
	p.closeIdleAt(i)
	return true
}

// closeExcess closes idle connections while there are more than the limit, which may have been lowered. p.mu must be held.
func (p *Pool) closeExcess() {
	for p.usage.open > p.limit && len(p.idle) > 0 {
		p.closeIdleAt(p.victim())
	}
}

// victim returns the index of the idle connection to close first, -1 if there is none. p.mu must be held.
func (p *Pool) victim() int {
	now := p.options.Clock.Now()
	idle := make([]idleConnection, len(p.idle))
	for i, h := range p.idle {
		idle[i] = idleConnection{idle: now.Sub(h.idleSince), spare: p.usage.of(h.workspace).open > 1}
	}
	return victim(idle)
}

// dropBroken removes the idle connections that the endpoint has closed. p.mu must be held.
func (p *Pool) dropBroken() {
	for i := len(p.idle) - 1; i >= 0; i-- {
		if p.idle[i].isBroken() {
			p.closeIdleAt(i)
		}
	}
}

// notifyPlaceFreed wakes the statements that wait until a connection may be opened. p.mu must be held.
func (p *Pool) notifyPlaceFreed() {
	if len(p.waiters) == 0 {
		return
	}
	close(p.placeFreed)
	p.placeFreed = make(chan struct{})
}
