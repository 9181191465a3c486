package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the platform's store.
type row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Version   uint64 `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// store is the platform's store of rows. It keeps its whole history.
type store struct {
	listener net.Listener
	started  time.Time

	mu      sync.Mutex
	version uint64
	rows    map[string]row
	history []row
	changed chan struct{}
}

func startStore() *store {
	s := &store{listener: listen(), started: time.Now(), rows: make(map[string]row), changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", s.transact)
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-feed", s.feed)
	go func() { _ = (&http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}).Serve(s.listener) }()
	return s
}

func (s *store) address() string { return s.listener.Addr().String() }

// write stores a row as the operator or a backend does; nil deletes it.
func (s *store) write(table, key string, value any) {
	data, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.put(row{Table: table, Key: key, Value: data, Tombstone: value == nil})
}

func (s *store) put(r row) {
	r.Version = s.version
	id := r.Table + "\x00" + r.Part + "\x00" + r.Key
	if r.Tombstone {
		r.Value = nil
		delete(s.rows, id)
	} else {
		s.rows[id] = r
	}
	s.history = append(s.history, r)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expected []row `json:"expected"`
		Puts     []row `json:"puts"`
		Deletes  []row `json:"deletes"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		http.Error(w, "malformed body", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range body.Expected {
		if s.rows[e.Table+"\x00"+e.Part+"\x00"+e.Key].Version != e.Version {
			w.WriteHeader(http.StatusPreconditionFailed)
			s.answer(w, nil, false)
			return
		}
	}
	s.version++
	for _, p := range body.Puts {
		s.put(p)
	}
	for _, d := range body.Deletes {
		d.Tombstone = true
		s.put(d)
	}
	s.answer(w, nil, false)
}

// answer writes the response to a call; s.mu must be held.
func (s *store) answer(w http.ResponseWriter, rows []row, more bool) {
	if rows == nil {
		rows = []row{}
	}
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": rows, "ver": s.version, "has-more": more, "now-ms": time.Since(s.started).Milliseconds(),
	})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []row
	for _, candidate := range s.rows {
		inRange := candidate.Key >= q.Get("from") && (q.Get("target") == "" || candidate.Key < q.Get("target"))
		if candidate.Table == q.Get("table") && candidate.Part == q.Get("part") && inRange {
			out = append(out, candidate)
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Key < out[b].Key })
	s.answer(w, out, false)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		var out []row
		for _, candidate := range s.history {
			if candidate.Table == q.Get("table") && candidate.Version > after {
				out = append(out, candidate)
			}
		}
		if len(out) > 0 {
			s.answer(w, out, false)
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			s.mu.Lock()
			s.answer(w, nil, false)
			s.mu.Unlock()
			return
		case <-r.Context().Done():
			return
		}
	}
}
