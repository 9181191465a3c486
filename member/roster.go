package member

import (
	"context"
	"encoding/json"
	"net/netip"
	"slices"
	"strings"
	"sync/atomic"
	"unicode/utf8"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"siskincove/event"
	"siskincove/store"
)

// rosterTable is the table in which instances find each other, with one row for each.
const rosterTable = "instances"

// maxRowsLogged bounds the lines about rows that are skipped, for each time that the roster is read.
const maxRowsLogged = 5

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

// List returns all registered instances; rows that name none are skipped, and the first of them are logged. It registers this instance
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
	skipped := 0
	for _, row := range page.Rows {
		listed, err := decodeInstance(row)
		if err == nil {
			out = append(out, listed)
			continue
		}
		if skipped++; skipped <= maxRowsLogged {
			r.logger.Log(event.RosterFailed, log.Fields{"instance": row.Key.Key, "error": err.Error()})
		}
	}
	return out, page.Version.Era(), nil
}

// decodeInstance returns the instance that a row names. Any writer may have left the row, and an instance that can't exist would be
// sent heartbeats and get its part of the connections.
func decodeInstance(row store.Row) (Instance, error) {
	var decoded registration
	if json.Unmarshal(row.Value, &decoded) != nil {
		return Instance{}, errors.New("not a JSON object with texts")
	}
	address, err := netip.ParseAddrPort(decoded.Address)
	if err != nil || address.Port() == 0 || address.Addr().IsUnspecified() {
		return Instance{}, errors.New("address is not an IP:port to connect to")
	}
	if region, domain, found := strings.Cut(decoded.Domain, "/"); !found || region == "" || domain == "" {
		return Instance{}, errors.New("domain is not of the form region/domain")
	}
	if row.Key.Key == "" || !utf8.ValidString(row.Key.Key) {
		return Instance{}, errors.New("key is no name of an instance")
	}
	return Instance{ID: row.Key.Key, Address: decoded.Address, Domain: decoded.Domain}, nil
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
