package hosting

import (
	"cmp"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// withFaults wraps a handler with the store's faults.
func (s *Store) withFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		f := s.loseAnswer(r)
		host, _, _ := net.SplitHostPort(r.RemoteAddr)
		tableFails := f.FailTable != "" && r.URL.Query().Get("table") == f.FailTable
		if f.Down || tableFails || slices.Contains(f.Refuse, host) {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		select {
		case <-time.After(f.Slow):
		case <-r.Context().Done():
			return
		}
		s.mu.Lock()
		s.calls[r.URL.Path]++
		if table := r.URL.Query().Get("table"); table != "" {
			s.calls[r.URL.Path+"?table="+table]++
		}
		s.mu.Unlock()
		next(&answerWriter{ResponseWriter: w, store: s, request: r}, r)
	}
}

// faultsFor returns the faults that apply to a request.
func (s *Store) faultsFor(r *http.Request) StoreFaults {
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()
	if address, ok := r.Context().Value(http.LocalAddrContextKey).(net.Addr); ok && len(f.At) > 0 && !slices.Contains(f.At, address.String()) {
		return StoreFaults{}
	}
	return f
}

// loseAnswer returns the faults that apply to a request. If its answer is to be lost, it does not return: it ends the handler once the
// client has closed the connection, or at once if that is to be reset.
func (s *Store) loseAnswer(r *http.Request) StoreFaults {
	f := s.faultsFor(r)
	if f.Silent && !f.Reset {
		// The end of the connection is noticed only once the body has been read.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	}
	if f.Silent || f.Reset {
		panic(http.ErrAbortHandler)
	}
	return f
}

// answerWriter adds the store's era, as of the moment of the answer, to a response, or loses it.
type answerWriter struct {
	http.ResponseWriter
	store   *Store
	request *http.Request
	started bool
}

// WriteHeader writes the era with the other headers, unless the answer is lost.
func (w *answerWriter) WriteHeader(status int) {
	w.store.loseAnswer(w.request)
	w.started = true
	w.Header().Set("Store-Era", strconv.FormatUint(w.store.era.Load(), 10))
	w.ResponseWriter.WriteHeader(status)
}

// Write writes the headers first if they have not been written.
func (w *answerWriter) Write(data []byte) (int, error) {
	if !w.started {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(data)
}

// transaction is the body of /rows-tx.
type transaction struct {
	Expected []Row `json:"expected"`
	Puts     []Row `json:"puts"`
	Deletes  []Row `json:"deletes"`
}

func (s *Store) transact(w http.ResponseWriter, r *http.Request) {
	var body transaction
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		http.Error(w, "malformed body", http.StatusBadRequest)
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
	writeRows(w, nil, version, false)
}

func writeRows(w http.ResponseWriter, rows []Row, version uint64, more bool) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"rows": rows, "ver": version, "has-more": more})
}

// maxPageRows is the platform's documented limit on the rows of one answer.
const maxPageRows = 500

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	var out []Row
	for _, row := range s.rows {
		inRange := row.Key >= q.Get("from") && (q.Get("target") == "" || row.Key < q.Get("target"))
		if row.Table == q.Get("table") && row.Part == q.Get("part") && inRange {
			out = append(out, row)
		}
	}
	version := s.version
	s.mu.Unlock()
	slices.SortFunc(out, func(a, b Row) int { return cmp.Compare(a.Key, b.Key) })
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit > maxPageRows {
		limit = maxPageRows
	}
	more := len(out) > limit
	if more {
		out = out[:limit]
	}
	writeRows(w, out, version, more)
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("wait-ms"), 10, 64)
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		rows, version, gone, changed := s.changesSince(q.Get("table"), after)
		if s.faultsFor(r).Reset {
			panic(http.ErrAbortHandler)
		}
		if gone {
			http.Error(w, "gone", http.StatusGone)
			return
		}
		if len(rows) > 0 {
			writeRows(w, rows, version, false)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			writeRows(w, nil, version, false)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// changesSince returns the changes of a table after a version, the current version, whether the history no longer
// reaches back that far, and a channel that is closed on the next change.
func (s *Store) changesSince(table string, after uint64) ([]Row, uint64, bool, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.droppedUpTo || after > s.version {
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
	if !s.storeObject(r.PathValue("id"), data, r.Header.Get("If-None-Match") == "*") {
		http.Error(w, "object already exists", http.StatusPreconditionFailed)
	}
}

// storeObject stores an object. It returns false, and does nothing, if one exists at the key that must not be replaced.
func (s *Store) storeObject(key string, data []byte, absent bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, exists := s.objects[key]; exists && absent {
		return false
	}
	s.objects[key] = data
	return true
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
