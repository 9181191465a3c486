package group

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// MemberState is the state of one member in the answer to GET /state.
type MemberState struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Domain  string `json:"domain"`
	Role    string `json:"role"`
	Fenced  uint64 `json:"fenced"`
	Log     string `json:"log"`
	Applied string `json:"applied"`
	// Open is the current number of connections and MaxOpen the highest so far.
	Open    int64 `json:"open"`
	MaxOpen int64 `json:"most"`
	// Waits counts the transactions that had to wait for a slot.
	Waits int64 `json:"waits"`
	// Served counts the statements that used a slot.
	Served int64 `json:"served"`
}

// Control returns the handler of the control interface, which reports the members (GET /state), reads applied rows (GET
// /rows?member=N&table=T&key=K) and sets faults (POST /fault?member=N&name=killed&value=true; the value of a lag is a
// duration).
func (g *Group) Control() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /state", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(g.States())
	})
	mux.HandleFunc("GET /rows", g.serveRows)
	mux.HandleFunc("POST /fault", func(w http.ResponseWriter, r *http.Request) {
		if err := g.setFault(r.FormValue("member"), r.FormValue("name"), r.FormValue("value")); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
		}
	})
	return mux
}

func (g *Group) serveRows(w http.ResponseWriter, r *http.Request) {
	n, err := strconv.Atoi(r.FormValue("member"))
	if err != nil || n < 0 || n >= len(g.members) {
		http.Error(w, "unknown member", http.StatusBadRequest)
		return
	}
	_ = json.NewEncoder(w).Encode(g.members[n].values(r.FormValue("table"), r.FormValue("key")))
}

// States returns the state of every member, in order.
func (g *Group) States() []MemberState {
	out := make([]MemberState, 0, len(g.members))
	for i, m := range g.members {
		st, s := m.Status(), g.servers[i]
		out = append(out, MemberState{
			Name: m.name, Address: m.address, Domain: m.domain, Role: st.Role.String(), Fenced: uint64(st.Fenced),
			Log: st.Log.String(), Applied: st.Applied.String(),
			Open: s.openConns.Load(), MaxOpen: s.maxOpenConns.Load(), Waits: s.slotWaits.Load(), Served: s.served.Load(),
		})
	}
	return out
}

func (g *Group) setFault(member, name, value string) error {
	n, err := strconv.Atoi(member)
	if err != nil || n < 0 || n >= len(g.members) {
		return errors.Newf("unknown member %q", member)
	}
	edit, err := parseFault(name, value)
	if err != nil {
		return err
	}
	g.members[n].SetFaults(edit)
	return nil
}

// parseFault returns the edit that sets the named fault to a value: a duration for lags, a boolean for the others.
func parseFault(name, value string) (func(Faults) Faults, error) {
	switch name {
	case "receivelag", "applylag":
		lag, err := time.ParseDuration(value)
		if err != nil {
			return nil, errors.Wrap(err, "lag")
		}
		return func(f Faults) Faults {
			if name == "receivelag" {
				f.ReceiveLag = lag
			} else {
				f.ApplyLag = lag
			}
			return f
		}, nil
	}
	on, err := strconv.ParseBool(value)
	if err != nil {
		return nil, errors.Wrap(err, "value")
	}
	return parseBoolFault(name, on)
}

func parseBoolFault(name string, on bool) (func(Faults) Faults, error) {
	set := map[string]func(*Faults) *bool{
		"killed":      func(f *Faults) *bool { return &f.Killed },
		"frozen":      func(f *Faults) *bool { return &f.Frozen },
		"cutpeers":    func(f *Faults) *bool { return &f.CutPeers },
		"cutcallers":  func(f *Faults) *bool { return &f.CutCallers },
		"losecommit":  func(f *Faults) *bool { return &f.LoseCommit },
		"losecontrol": func(f *Faults) *bool { return &f.LoseControl },
	}
	pick, ok := set[name]
	if !ok {
		return nil, errors.Newf("unknown fault %q", name)
	}
	return func(f Faults) Faults {
		*pick(&f) = on
		return f
	}, nil
}
