package database

import (
	"slices"
	"strings"
	"sync"
	"time"

	"siskincove/endpoint"
	"siskincove/group"
)

// promotionIndex names the databases whose promotions other instances may need to know of, which are few among all.
type promotionIndex struct {
	mu    sync.Mutex
	names map[string]struct{}
}

func newPromotionIndex() *promotionIndex { return &promotionIndex{names: make(map[string]struct{})} }

func (x *promotionIndex) add(name string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.names[name] = struct{}{}
}

func (x *promotionIndex) remove(name string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.names, name)
}

func (x *promotionIndex) all() []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	out := make([]string, 0, len(x.names))
	for name := range x.names {
		out = append(out, name)
	}
	return out
}

// WithPromotions returns the databases that have promotions of which other instances may need to know, ordered by name.
func (r *Registry) WithPromotions() []*Database {
	var out []*Database
	for _, name := range r.promoting.all() {
		d, known := r.Get(name)
		if known && d.hasPromotions() {
			out = append(out, d)
			continue
		}
		r.promoting.remove(name)
		if known && d.hasPromotions() {
			// One was recorded meanwhile.
			r.promoting.add(name)
		}
	}
	slices.SortFunc(out, func(a, b *Database) int { return strings.Compare(a.name, b.name) })
	return out
}

// RecordPromotion records that a promotion was requested or has ended.
func (d *Database) RecordPromotion(p group.Promotion) {
	d.update("", func(v group.View, _ time.Time) group.View { return v.WithPromotion(p) })
	d.promoting.add(d.name)
}

// MayLack reports whether a promotion may be outstanding whose log may lack a commit that an endpoint has acknowledged at a position.
func (d *Database) MayLack(name string, position endpoint.Position) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.view.MayLack(name, position.Term, d.options.Clock.Now())
}

// IsBeingReplaced reports whether the promotion of another endpoint may be outstanding while an endpoint may lead.
func (d *Database) IsBeingReplaced(name string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.view.IsBeingReplaced(name, d.options.Clock.Now())
}

func (d *Database) hasPromotions() bool {
	now := d.options.Clock.Now()
	return slices.ContainsFunc(d.View().Promotions(), func(p group.Promotion) bool { return p.WorthTelling(now) })
}
