package platform

import (
	"context"
	"sync"

	"siskincove/platform"
)

// Memory is a table, an object store and a roster in memory, for tests and for the served stand-in.
type Memory struct {
	mu      sync.Mutex
	rows    map[string]platform.Row
	objects map[string][]byte
	roster  []platform.Instance
}

// NewMemory returns an empty platform.
func NewMemory() *Memory {
	return &Memory{rows: make(map[string]platform.Row), objects: make(map[string][]byte)}
}

// Get reads the row at key, or returns ErrAbsent.
func (m *Memory) Get(_ context.Context, key string) (platform.Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	row, ok := m.rows[key]
	if !ok {
		return platform.Row{}, platform.ErrAbsent
	}
	return row, nil
}

// Put stores the row if the stored revision equals expected.
func (m *Memory) Put(_ context.Context, row platform.Row, expected uint64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.rows[row.Key].Revision != expected {
		return platform.ErrConflict
	}
	m.rows[row.Key] = row
	return nil
}

// Objects returns the object store's side of the memory.
func (m *Memory) Objects() platform.Objects { return memoryObjects{m} }

// List returns the instances last set.
func (m *Memory) List(context.Context) ([]platform.Instance, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]platform.Instance(nil), m.roster...), nil
}

// SetInstance adds or replaces an instance in the list.
func (m *Memory) SetInstance(instance platform.Instance) {
	m.RemoveInstance(instance.ID)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.roster = append(m.roster, instance)
}

// RemoveInstance takes an instance off the list.
func (m *Memory) RemoveInstance(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	kept := make([]platform.Instance, 0, len(m.roster))
	for _, instance := range m.roster {
		if instance.ID != id {
			kept = append(kept, instance)
		}
	}
	m.roster = kept
}

type memoryObjects struct{ memory *Memory }

// Get reads the object at key, or returns ErrAbsent.
func (o memoryObjects) Get(_ context.Context, key string) ([]byte, error) {
	o.memory.mu.Lock()
	defer o.memory.mu.Unlock()
	data, ok := o.memory.objects[key]
	if !ok {
		return nil, platform.ErrAbsent
	}
	return append([]byte(nil), data...), nil
}

// Put stores data at key.
func (o memoryObjects) Put(_ context.Context, key string, data []byte) error {
	o.memory.mu.Lock()
	defer o.memory.mu.Unlock()
	o.memory.objects[key] = append([]byte(nil), data...)
	return nil
}
