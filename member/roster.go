package member

import (
	"context"
	"encoding/json"
	"slices"
	"sync/atomic"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"siskincove/event"
	"siskincove/store"
)

// rosterTable is the table in which instances find each other, with one row for each.
const rosterTable = "instances"

// Lister reads the roster, the list of instances, which may be out of date.
type Lister interface {
	// List returns the listed instances and registers this one if it is not listed.
	List(ctx context.Context) ([]Instance, error)
}

// Roster is the list of instances in the store. Each instance registers itself and removes its row when it leaves.
type Roster struct {
	rows   store.Rows
	self   Instance
	logger *event.Logger
	// registeredEra is one more than the store's era in which this instance was found to be listed, 0 if it was not.
	registeredEra atomic.Uint64
	// wasRead is set once the list was read, and wasListed if this instance was in it before it registered itself.
	wasRead, wasListed atomic.Bool
}

// NewRoster returns the roster as read and written by the instance self.
func NewRoster(rows store.Rows, self Instance, logger *event.Logger) *Roster {
	return &Roster{rows: rows, self: self, logger: logger}
}

// registration is the value of an instance's row.
type registration struct {
	Address string `json:"address"`
	Domain  string `json:"domain"`
}

func (r *Roster) key() store.Key { return store.Key{Table: rosterTable, Key: r.self.ID} }

// List returns all registered instances; rows that can't be decoded are logged and skipped. It registers this instance
// once in each era of the store, unless its row from before a restart is still right: when all instances restart at once, the
// store can serve their reads but not as many writes.
func (r *Roster) List(ctx context.Context) ([]Instance, error) {
	out, era, err := r.read(ctx)
	if err != nil {
		return nil, err
	}
	listed := r.lists(out)
	if r.wasRead.CompareAndSwap(false, true) {
		r.wasListed.Store(listed)
	}
	if r.registeredEra.Load() == era+1 {
		return out, nil
	}
	if listed {
		r.registeredEra.Store(era + 1)
		return out, nil
	}
	if err := r.register(ctx); err != nil {
		return nil, err
	}
	out, _, err = r.read(ctx)
	return out, err
}

func (r *Roster) lists(list []Instance) bool {
	return slices.ContainsFunc(list, func(i Instance) bool {
		return i.ID == r.self.ID && i.Address == r.self.Address && i.Domain == r.self.Domain
	})
}

// WasListed reports whether this instance was listed before it started, as after a restart.
func (r *Roster) WasListed() bool { return r.wasListed.Load() }

// read returns the listed instances and the store's era.
func (r *Roster) read(ctx context.Context) ([]Instance, uint64, error) {
	page, err := store.Scan(ctx, r.rows, rosterTable, "", "")
	if err != nil {
		return nil, 0, errors.Wrap(err, "reading the list of instances")
	}
	out := make([]Instance, 0, len(page.Rows))
	for _, row := range page.Rows {
		var decoded registration
		if err := json.Unmarshal(row.Value, &decoded); err != nil {
			r.logger.Log(event.RosterFailed, log.Fields{"instance": row.Key.Key, "error": err.Error()})
			continue
		}
		out = append(out, Instance{ID: row.Key.Key, Address: decoded.Address, Domain: decoded.Domain})
	}
	return out, page.Version.Era(), nil
}

func (r *Roster) register(ctx context.Context) error {
	value, err := json.Marshal(registration{Address: r.self.Address, Domain: r.self.Domain})
	if err != nil {
		return errors.Wrap(err, "encoding the roster row of this instance")
	}
	version, err := r.rows.Commit(ctx, store.Transaction{Puts: []store.Row{{Key: r.key(), Value: value}}})
	if err != nil {
		return errors.Wrap(err, "registering this instance")
	}
	r.registeredEra.Store(version.Era() + 1)
	return nil
}

// Deregister removes this instance's row.
func (r *Roster) Deregister(ctx context.Context) error {
	_, err := r.rows.Commit(ctx, store.Transaction{Deletes: []store.Key{r.key()}})
	return errors.Wrap(err, "removing the roster row of this instance")
}
