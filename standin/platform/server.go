package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"siskincove/clock"
	"siskincove/platform"
)

// Server serves a Memory by the platform's protocols, with faults.
type Server struct {
	memory  *Memory
	clock   clock.Service
	mu      sync.Mutex
	faults  Faults
	counts  Counts
	lag     time.Duration
	pending []rosterChange
}

// Counts are the requests served so far.
type Counts struct {
	Reads  int64 `json:"reads"`
	Writes int64 `json:"writes"`
	Lists  int64 `json:"lists"`
}

type rosterChange struct {
	due      time.Time
	instance platform.Instance
	gone     bool
}

// NewServer returns a server of memory whose list of instances lags by lag.
func NewServer(memory *Memory, service clock.Service, lag time.Duration) *Server {
	return &Server{memory: memory, clock: service, lag: lag}
}

// SetFaults replaces the platform's faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Counts returns the requests served so far.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Handler returns the HTTP handler of the protocols and of the control address:
// POST /control/fault?name=down&value=true and POST /control/instance?id=&address=&domain=&state=live|leaving|gone.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /control/fault", s.serveFault)
	mux.HandleFunc("POST /control/instance", s.serveInstance)
	mux.HandleFunc("GET /control/counts", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(s.Counts())
	})
	mux.HandleFunc("GET /roster", s.guarded(s.serveRoster))
	mux.HandleFunc("POST /{$}", s.guarded(s.serveTable))
	mux.HandleFunc("GET /{bucket}/{key...}", s.guarded(s.serveGetObject))
	mux.HandleFunc("PUT /{bucket}/{key...}", s.guarded(s.servePutObject))
	return mux
}

func (s *Server) guarded(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		f := s.faults
		s.mu.Unlock()
		if f.Slow > 0 {
			_ = clock.Wait(r.Context(), s.clock, f.Slow)
		}
		if f.Down {
			http.Error(w, "platform is down", http.StatusServiceUnavailable)
			return
		}
		next(w, r)
	}
}

// loses reports whether the answer to a write is to be lost.
func (s *Server) loses() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LosePuts == 0 {
		return false
	}
	s.faults.LosePuts--
	return true
}

func (s *Server) count(edit func(*Counts)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	edit(&s.counts)
}

// abort drops the connection without an answer.
func abort() { panic(http.ErrAbortHandler) }

func (s *Server) serveGetObject(w http.ResponseWriter, r *http.Request) {
	s.count(func(c *Counts) { c.Reads++ })
	data, err := s.memory.Objects().Get(r.Context(), r.PathValue("bucket")+"/"+r.PathValue("key"))
	if err != nil {
		w.Header().Set("Content-Type", "application/xml")
		w.WriteHeader(http.StatusNotFound)
		_, _ = io.WriteString(w, "<Error><Code>NoSuchKey</Code><Message>absent</Message></Error>")
		return
	}
	_, _ = w.Write(data)
}

func (s *Server) servePutObject(w http.ResponseWriter, r *http.Request) {
	s.count(func(c *Counts) { c.Writes++ })
	data, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	_ = s.memory.Objects().Put(r.Context(), r.PathValue("bucket")+"/"+r.PathValue("key"), data)
	if s.loses() {
		abort()
	}
	w.Header().Set("ETag", `"0"`)
}

func (s *Server) serveRoster(w http.ResponseWriter, r *http.Request) {
	s.count(func(c *Counts) { c.Lists++ })
	s.mu.Lock()
	down := s.faults.RosterDown
	s.mu.Unlock()
	if down {
		http.Error(w, "list is unavailable", http.StatusServiceUnavailable)
		return
	}
	s.settleRoster()
	list, _ := s.memory.List(r.Context())
	_ = json.NewEncoder(w).Encode(list)
}

// settleRoster applies the changes whose lag has passed.
func (s *Server) settleRoster() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	kept := s.pending[:0]
	for _, c := range s.pending {
		if c.due.After(now) {
			kept = append(kept, c)
			continue
		}
		if c.gone {
			s.memory.RemoveInstance(c.instance.ID)
		} else {
			s.memory.SetInstance(c.instance)
		}
	}
	s.pending = kept
}

func (s *Server) serveInstance(w http.ResponseWriter, r *http.Request) {
	state := r.FormValue("state")
	instance := platform.Instance{
		ID: r.FormValue("id"), Address: r.FormValue("address"), Domain: r.FormValue("domain"), Leaving: state == "leaving",
	}
	if instance.ID == "" {
		http.Error(w, "id is missing", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	due := s.clock.Now().Add(s.lag)
	s.pending = append(s.pending, rosterChange{due: due, instance: instance, gone: state == "gone"})
}

func (s *Server) serveFault(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next, err := editFaults(s.faults, r.FormValue("name"), r.FormValue("value"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.faults = next
}

func editFaults(f Faults, name, value string) (Faults, error) {
	var err error
	switch strings.ToLower(name) {
	case "down":
		f.Down, err = strconv.ParseBool(value)
	case "slow":
		f.Slow, err = time.ParseDuration(value)
	case "loseputs":
		f.LosePuts, err = strconv.Atoi(value)
	case "rosterdown":
		f.RosterDown, err = strconv.ParseBool(value)
	default:
		err = errors.Newf("no fault %q", name)
	}
	return f, err
}
