package member

// Known returns the instances that have not left, this one included unless it is leaving: also those that are dead or have not
// answered yet.
func (t *Table) Known() []Instance {
	out := make([]Instance, 0, len(t.instances)+1)
	for _, i := range t.instances {
		if i.State != Leaving {
			out = append(out, i)
		}
	}
	if t.self.State != Leaving {
		out = append(out, t.self)
	}
	return out
}

// KnownVersion returns a number that increases whenever the result of Known changes in instances or states.
func (t *Table) KnownVersion() uint64 { return t.knownVersion }

// Known returns a placement over all instances that have not left, dead ones included. It is the same value until an instance
// or its state changes.
func (d *Driver) Known() *Placement {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.known == nil || d.knownVersion != d.table.KnownVersion() {
		d.known, d.knownVersion = NewPlacement(d.table.Known()), d.table.KnownVersion()
	}
	return d.known
}
