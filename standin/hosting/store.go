package hosting

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Row is a row of the store in its JSON form.
type Row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value"`
	Version   uint64 `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

func (r Row) id() string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

// StoreFaults are the injectable faults of the store.
type StoreFaults struct {
	// Down answers every request with 503.
	Down bool
	// Slow delays every answer by this time.
	Slow time.Duration
	// FailTable answers requests for this table with 503.
	FailTable string
	// Silent loses every answer that is due until it is cleared, also those of requests that arrived before. Requests that arrive
	// have no effect. A connection on which an answer was lost stays open and delivers nothing further.
	Silent bool
	// Reset closes the connections of all requests, also of those that wait for changes.
	Reset bool
	// LoseCommits commits this many of the next transactions without an answer.
	LoseCommits int
	// Refuse answers requests from these client IP addresses with 503.
	Refuse []string
	// At restricts the faults to requests to these addresses of the store; all if it is empty.
	At []string
}

// headerTimeout bounds the time to read the headers of a request.
const headerTimeout = 5 * time.Second

// Store is the platform's row and object store.
type Store struct {
	listener net.Listener
	server   *http.Server
	// serving counts the goroutines that serve a listener.
	serving sync.WaitGroup

	// era counts the restores, from 1.
	era atomic.Uint64

	mu      sync.Mutex
	version uint64
	rows    map[string]Row
	history []Row
	// droppedUpTo is the version up to which changes are no longer in the history.
	droppedUpTo uint64
	objects     map[string][]byte
	faults      StoreFaults
	// changed is closed and replaced on every change of rows, history or faults.
	changed chan struct{}
	// calls counts the requests that were handled, by path.
	calls map[string]int
}

// NewStore starts a store on a loopback port.
func NewStore() (*Store, error) { return ListenStore("127.0.0.1:0") }

// ListenStore starts a store on an IP:port.
func ListenStore(address string) (*Store, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Store{
		listener: listener, rows: make(map[string]Row), objects: make(map[string][]byte), changed: make(chan struct{}),
		calls: make(map[string]int),
	}
	s.era.Store(1)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /control/fault", s.serveFault)
	mux.HandleFunc("POST /rows-tx", s.withFaults(s.transact))
	mux.HandleFunc("GET /rows-get", s.withFaults(s.get))
	mux.HandleFunc("GET /rows-feed", s.withFaults(s.feed))
	mux.HandleFunc("PUT /blob-put/{id...}", s.withFaults(s.putObject))
	mux.HandleFunc("GET /blob-get/{id...}", s.withFaults(s.getObject))
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	s.serve(listener)
	return s, nil
}

func (s *Store) serve(listener net.Listener) {
	s.serving.Go(func() { _ = s.server.Serve(listener) })
}

// Listen serves the store at a further loopback port and returns its IP:port, to which faults can be restricted.
func (s *Store) Listen() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s.serve(listener)
	return listener.Addr().String(), nil
}

// Address returns the store's IP:port.
func (s *Store) Address() string { return s.listener.Addr().String() }

// Close stops the store.
func (s *Store) Close() {
	_ = s.server.Close()
	s.serving.Wait()
}

// SetFaults replaces the store's faults.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.notify()
}

// Calls returns how many requests for a path, or with "?table=NAME" after it for one table, were handled; those that a fault
// answered are not counted.
func (s *Store) Calls(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[path]
}

// Write stores a row with the JSON form of value, as an operator or endpoint would; a nil value deletes it.
func (s *Store) Write(table, key string, value any) {
	var data []byte
	if value != nil {
		data, _ = json.Marshal(value)
	}
	s.WriteRaw(table, key, data)
}

// WriteRaw stores a row with the given bytes; nil deletes it.
func (s *Store) WriteRaw(table, key string, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.put(Row{Table: table, Key: key, Value: data, Tombstone: data == nil})
}

// DropHistory drops the history of changes, so that readers of the feed must reload.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.droppedUpTo = nil, s.version
	s.notify()
}

// Copy is the content of a store at some moment.
type Copy struct {
	version     uint64
	rows        map[string]Row
	history     []Row
	droppedUpTo uint64
}

// Copy returns a copy of the rows and their history.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{version: s.version, rows: maps.Clone(s.rows), history: slices.Clone(s.history), droppedUpTo: s.droppedUpTo}
}

// Restore replaces the content by a copy: what was written since is lost, and its versions are given out again in a new era.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era.Add(1)
	s.version, s.rows, s.history, s.droppedUpTo = c.version, maps.Clone(c.rows), slices.Clone(c.history), c.droppedUpTo
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
