package group

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// MemberState is what the control address reports of one member.
type MemberState struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Domain  string `json:"domain"`
	Role    string `json:"role"`
	Fenced  uint64 `json:"fenced"`
	Log     string `json:"log"`
	Applied string `json:"applied"`
	// Open is the current number of connections and Most the highest seen.
	Open    int64 `json:"open"`
	MaxOpen int64 `json:"most"`
	// Waits counts transactions that found every slot taken.
	Waits int64 `json:"waits"`
	// Served counts statements that took a slot.
	Served int64 `json:"served"`
}

// Control returns the handler by which a test or an operator of the stand-in sets faults:
// GET /state, and POST /fault?member=N&name=killed&value=true, with durations for lags.
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
		http.Error(w, "no such member", http.StatusBadRequest)
		return
	}
	_ = json.NewEncoder(w).Encode(g.members[n].values(r.FormValue("table"), r.FormValue("key")))
}

// States reports every member.
func (g *Group) States() []MemberState {
	out := make([]MemberState, 0, len(g.members))
	for i, m := range g.members {
		st, s := m.Status(), g.servers[i]
		out = append(out, MemberState{
			Name: m.name, Address: m.address, Domain: m.domain, Role: st.Role.String(), Fenced: uint64(st.Fenced),
			Log: st.Log.String(), Applied: st.Applied.String(),
			Open: s.open.Load(), MaxOpen: s.most.Load(), Waits: s.waits.Load(), Served: s.served.Load(),
		})
	}
	return out
}

func (g *Group) setFault(member, name, value string) error {
	n, err := strconv.Atoi(member)
	if err != nil || n < 0 || n >= len(g.members) {
		return errors.Newf("no member %q", member)
	}
	edit, err := faultEdit(name, value)
	if err != nil {
		return err
	}
	g.members[n].SetFaults(edit)
	return nil
}

func faultEdit(name, value string) (func(Faults) Faults, error) {
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
	return boolEdit(name, on)
}

func boolEdit(name string, on bool) (func(Faults) Faults, error) {
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
		return nil, errors.Newf("no fault %q", name)
	}
	return func(f Faults) Faults {
		*pick(&f) = on
		return f
	}, nil
}
