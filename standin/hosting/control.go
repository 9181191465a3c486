package hosting

import (
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// serveFault sets one fault, for example POST /control/fault?name=down&value=true.
func (s *Store) serveFault(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	faults := s.faults
	s.mu.Unlock()
	next, err := faults.with(r.FormValue("name"), r.FormValue("value"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(next)
}

// with returns a copy in which one fault has the given value.
func (f StoreFaults) with(name, value string) (StoreFaults, error) {
	var err error
	switch name {
	case "down":
		f.Down, err = strconv.ParseBool(value)
	case "silent":
		f.Silent, err = strconv.ParseBool(value)
	case "slow":
		f.Slow, err = time.ParseDuration(value)
	case "losecommits":
		f.LoseCommits, err = strconv.Atoi(value)
	case "without":
		f.FailTable = value
	default:
		err = errors.Newf("unknown fault %q", name)
	}
	return f, errors.Wrap(err, name)
}
