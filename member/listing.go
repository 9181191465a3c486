package hosted

import (
	"context"
	"encoding/json"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"siskincove/member"
	"siskincove/platform"
	"siskincove/store"
)

// rosterTable holds a row for each instance, so that they find each other.
const rosterTable = "instances"

// roster is the list of instances in the store.
type roster struct {
	rows       store.Rows
	self       member.Instance
	registered atomic.Bool
}

// listed is the value of an instance's row.
type listed struct {
	Address string `json:"address"`
	Domain  string `json:"domain"`
}

func (r *roster) key() store.Key { return store.Key{Table: rosterTable, Key: r.self.ID} }

// List registers this instance, once, and returns all that are registered.
func (r *roster) List(ctx context.Context) ([]platform.Instance, error) {
	if !r.registered.Load() {
		if err := r.register(ctx); err != nil {
			return nil, err
		}
	}
	page, err := r.rows.Range(ctx, rosterTable, "", "", "")
	if err != nil {
		return nil, errors.Wrap(err, "reading the list of instances")
	}
	out := make([]platform.Instance, 0, len(page.Rows))
	for _, row := range page.Rows {
		var l listed
		if err := json.Unmarshal(row.Value, &l); err != nil {
			return nil, errors.Wrapf(err, "row of instance %s", row.Key.Key)
		}
		out = append(out, platform.Instance{ID: row.Key.Key, Address: l.Address, Domain: l.Domain})
	}
	return out, nil
}

func (r *roster) register(ctx context.Context) error {
	value, err := json.Marshal(listed{Address: r.self.Address, Domain: r.self.Domain})
	if err != nil {
		return errors.Wrap(err, "encoding this instance")
	}
	if _, err := r.rows.Commit(ctx, store.Transaction{Puts: []store.Row{{Key: r.key(), Value: value}}}); err != nil {
		return errors.Wrap(err, "registering this instance")
	}
	r.registered.Store(true)
	return nil
}

// leave removes this instance's row.
func (r *roster) leave(ctx context.Context) error {
	_, err := r.rows.Commit(ctx, store.Transaction{Deletes: []store.Key{r.key()}})
	return errors.Wrap(err, "removing this instance")
}
