package directory

import (
	"maps"
	"time"

	"siskincove/meter"
)

// maxSources bounds the peers that are remembered; a further one replaces one of the farthest.
const maxSources = 64

// Source is a peer that has a newer directory than this instance.
type Source struct {
	Address  string
	Distance meter.Distance
	Versions Versions
	// NotBefore is when the peer may be asked.
	NotBefore time.Time
}

// Sources are the peers that have announced a directory newer than this instance's. It is an immutable value.
type Sources struct{ all map[string]Source }

// With returns the sources after a peer has announced its versions. A peer that may not be asked yet is not asked sooner than before.
func (s Sources) With(announced Source) Sources {
	next := s.clone()
	if known, ok := s.all[announced.Address]; ok {
		announced.Versions = announced.Versions.orNewer(known.Versions)
		announced.NotBefore = known.NotBefore
	} else if len(next.all) >= maxSources {
		delete(next.all, next.farthest())
	}
	next.all[announced.Address] = announced
	return next
}

// WithPause returns the sources with a peer that is not to be asked before a time.
func (s Sources) WithPause(address string, until time.Time) Sources {
	next := s.clone()
	if known, ok := next.all[address]; ok {
		known.NotBefore = until
		next.all[address] = known
	}
	return next
}

// Without returns the sources without a peer.
func (s Sources) Without(address string) Sources {
	next := s.clone()
	delete(next.all, address)
	return next
}

// Newer returns the sources that have something newer than own.
func (s Sources) Newer(own Versions) Sources {
	next := s.clone()
	maps.DeleteFunc(next.all, func(_ string, source Source) bool { return !source.Versions.NewerThan(own) })
	return next
}

// Next returns the peer to ask: of those that may be asked now the nearest, and of these the one with the newest configuration. If there
// is none, it returns how long to wait for one, and false if there is none to wait for either.
func (s Sources) Next(own Versions, now time.Time) (Source, time.Duration, bool) {
	var best, soonest Source
	for _, source := range s.all {
		switch {
		case !source.Versions.NewerThan(own):
		case source.NotBefore.After(now):
			if soonest.Address == "" || source.NotBefore.Before(soonest.NotBefore) {
				soonest = source
			}
		case best.Address == "" || source.preferredTo(best):
			best = source
		}
	}
	switch {
	case best.Address != "":
		return best, 0, true
	case soonest.Address != "":
		return Source{}, soonest.NotBefore.Sub(now), true
	default:
		return Source{}, 0, false
	}
}

// preferredTo orders sources that may be asked. Of equal ones the one that has been free for longest comes first, which spreads the
// requests.
func (s Source) preferredTo(other Source) bool {
	if s.Distance != other.Distance {
		return distanceOrder[s.Distance] < distanceOrder[other.Distance]
	}
	if s.Versions.Configuration != other.Versions.Configuration {
		return s.Versions.Configuration > other.Versions.Configuration
	}
	if !s.NotBefore.Equal(other.NotBefore) {
		return s.NotBefore.Before(other.NotBefore)
	}
	return s.Address < other.Address
}

var distanceOrder = map[meter.Distance]int{meter.SameDomain: 0, meter.SameRegion: 1, meter.OtherRegion: 2, meter.UnknownDistance: 3}

// orNewer returns the newer of each version of v and other.
func (v Versions) orNewer(other Versions) Versions {
	return Versions{Configuration: max(v.Configuration, other.Configuration), Endpoints: max(v.Endpoints, other.Endpoints)}
}

func (s Sources) farthest() string {
	var out Source
	for _, source := range s.all {
		if out.Address == "" || out.preferredTo(source) {
			out = source
		}
	}
	return out.Address
}

func (s Sources) clone() Sources {
	next := Sources{all: maps.Clone(s.all)}
	if next.all == nil {
		next.all = make(map[string]Source)
	}
	return next
}
