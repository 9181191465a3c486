package hosting

import (
	"cmp"
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Row is a row of the store, as in its bodies.
type Row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value"`
	Version   uint64 `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

func (r Row) id() string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

// StoreFaults are the ways in which the store fails.
type StoreFaults struct {
	// Down answers every call with 503.
	Down bool
	// Silent answers no call until it is cleared.
	Silent bool
	// LoseCommits carries out this many of the next transactions and gives no answer.
	LoseCommits int
	// Refuse answers calls from these IP numbers with 503.
	Refuse []string
}

// Store is the platform's store of rows and objects.
type Store struct {
	listener net.Listener
	server   *http.Server

	mu      sync.Mutex
	version uint64
	rows    map[string]Row
	history []Row
	// oldest is the version up to which history is gone.
	oldest  uint64
	objects map[string][]byte
	faults  StoreFaults
	changed chan struct{}
	calls   map[string]int
}

// NewStore starts a store on a loopback port.
func NewStore() (*Store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{
		listener: listener, rows: make(map[string]Row), objects: make(map[string][]byte), changed: make(chan struct{}),
		calls: make(map[string]int),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", s.transact)
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-feed", s.feed)
	mux.HandleFunc("PUT /blob-put/{id...}", s.putObject)
	mux.HandleFunc("GET /blob-get/{id...}", s.getObject)
	s.server = &http.Server{Handler: s.guard(mux)}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// Address returns the store's IP:port.
func (s *Store) Address() string { return s.listener.Addr().String() }

// Close ends the store.
func (s *Store) Close() { _ = s.server.Close() }

// Fail sets the store's faults.
func (s *Store) Fail(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.notify()
}

// Calls returns how often a path was called.
func (s *Store) Calls(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[path]
}

// Write stores a row as the operator or an endpoint would; a nil value deletes it.
func (s *Store) Write(table, key string, value any) {
	var data []byte
	if value != nil {
		data, _ = json.Marshal(value)
	}
	s.WriteRaw(table, key, data)
}

// WriteRaw stores the bytes of a row; nil deletes it.
func (s *Store) WriteRaw(table, key string, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.put(Row{Table: table, Key: key, Value: data, Tombstone: data == nil})
}

// Forget drops the history of changes.
func (s *Store) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.oldest = nil, s.version
	s.notify()
}

func (s *Store) put(r Row) {
	r.Version = s.version
	if r.Tombstone {
		delete(s.rows, r.id())
	} else {
		s.rows[r.id()] = r
	}
	s.history = append(s.history, r)
	s.notify()
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// guard applies the faults to every call.
func (s *Store) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for {
			s.mu.Lock()
			f, changed := s.faults, s.changed
			s.mu.Unlock()
			host, _, _ := net.SplitHostPort(r.RemoteAddr)
			if f.Down || slices.Contains(f.Refuse, host) {
				http.Error(w, "down", http.StatusServiceUnavailable)
				return
			}
			if !f.Silent {
				break
			}
			select {
			case <-changed:
			case <-r.Context().Done():
				return
			}
		}
		s.mu.Lock()
		s.calls[r.URL.Path]++
		s.mu.Unlock()
		next.ServeHTTP(w, r)
	})
}

type transactBody struct {
	Expected []Row `json:"expected"`
	Puts     []Row `json:"puts"`
	Deletes  []Row `json:"deletes"`
}

func (s *Store) transact(w http.ResponseWriter, r *http.Request) {
	var body transactBody
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		http.Error(w, "body", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	for _, e := range body.Expected {
		if s.rows[e.id()].Version != e.Version {
			s.mu.Unlock()
			http.Error(w, "{}", http.StatusPreconditionFailed)
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
	version, lose := s.version, s.faults.LoseCommits > 0
	if lose {
		s.faults.LoseCommits--
	}
	s.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
	reply(w, nil, version)
}

func reply(w http.ResponseWriter, rows []Row, version uint64) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"rows": rows, "ver": version, "has-more": false})
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	var out []Row
	for _, row := range s.rows {
		inside := row.Key >= q.Get("from") && (q.Get("target") == "" || row.Key < q.Get("target"))
		if row.Table == q.Get("table") && row.Part == q.Get("part") && inside {
			out = append(out, row)
		}
	}
	version := s.version
	s.mu.Unlock()
	slices.SortFunc(out, func(a, b Row) int { return cmp.Compare(a.Key, b.Key) })
	reply(w, out, version)
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("wait-ms"), 10, 64)
	limit := time.After(time.Duration(wait) * time.Millisecond)
	for {
		rows, version, gone, changed := s.since(q.Get("table"), after)
		if gone {
			http.Error(w, "gone", http.StatusGone)
			return
		}
		if len(rows) > 0 {
			reply(w, rows, version)
			return
		}
		select {
		case <-changed:
		case <-limit:
			reply(w, nil, version)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) since(table string, after uint64) ([]Row, uint64, bool, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.oldest {
		return nil, 0, true, nil
	}
	var out []Row
	for _, row := range s.history {
		if row.Table == table && row.Version > after {
			out = append(out, row)
		}
	}
	return out, s.version, false, s.changed
}

func (s *Store) putObject(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, exists := s.objects[r.PathValue("id")]; exists && r.Header.Get("If-None-Match") == "*" {
		http.Error(w, "exists", http.StatusPreconditionFailed)
		return
	}
	s.objects[r.PathValue("id")] = data
}

func (s *Store) getObject(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	data, ok := s.objects[r.PathValue("id")]
	s.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	_, _ = w.Write(data)
}

// Rows returns the values of a table's rows by key.
func (s *Store) Rows(table string) map[string][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string][]byte)
	for row := range maps.Values(s.rows) {
		if row.Table == table && !strings.Contains(row.Part, "\x00") {
			out[row.Key] = row.Value
		}
	}
	return out
}
