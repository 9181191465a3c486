package instance

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/pprof"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"siskincove/member"
	"siskincove/pool"
)

const (
	headerTimeout   = 5 * time.Second
	shutdownTimeout = time.Second
)

// health serves /healthz, /readyz, /metrics, /status and /debug/pprof.
type health struct {
	instance     *Instance
	shuttingDown atomic.Bool
	done         chan struct{}
}

// Status is the JSON response of /status.
type Status struct {
	Instance string `json:"instance"`
	Domain   string `json:"domain"`
	Ready    bool   `json:"ready"`
	Revision uint64 `json:"revision"`
	Hash     string `json:"hash"`
	// Workspaces is the number of workspaces in force.
	Workspaces int          `json:"workspaces"`
	Sessions   int          `json:"sessions"`
	Inflight   int64        `json:"inflight"`
	Pools      []pool.State `json:"pools"`
	Peers      []PeerStatus `json:"peers"`
}

// PeerStatus is an instance as listed in the status of another.
type PeerStatus struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Domain  string `json:"domain"`
	State   string `json:"state"`
}

func newHealth(ctx context.Context, listener net.Listener, i *Instance) *health {
	h := &health{instance: i, done: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	mux.HandleFunc("GET /readyz", h.serveReady)
	mux.HandleFunc("GET /status", h.serveStatus)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	server := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	serving := make(chan struct{})
	go func() {
		defer close(serving)
		_ = server.Serve(listener)
	}()
	go h.shutDown(ctx, server, serving)
	return h
}

// shutDown shuts the server down once ctx has ended.
func (h *health) shutDown(ctx context.Context, server *http.Server, serving <-chan struct{}) {
	defer close(h.done)
	<-ctx.Done()
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	_ = server.Shutdown(shutdownCtx)
	<-serving
}

func (h *health) setShuttingDown() { h.shuttingDown.Store(true) }

// ready reports whether the instance accepts callers: it has a configuration, knows its peers and is not shutting down.
func (h *health) ready() bool {
	i := h.instance
	return !h.shuttingDown.Load() && i.revisions.Catalog() != nil && i.members.Settled()
}

func (h *health) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !h.ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

func (h *health) serveStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(h.status())
}

func (h *health) status() Status {
	i := h.instance
	number, hash := i.revisions.Revision()
	workspaces := 0
	if catalog := i.revisions.Catalog(); catalog != nil {
		workspaces = catalog.Workspaces()
	}
	return Status{
		Workspaces: workspaces,
		Instance:   i.settings.Instance.ID, Domain: i.settings.Instance.Domain, Ready: h.ready(),
		Revision: number, Hash: hash, Sessions: i.entry.Sessions(), Inflight: i.entry.Inflight(),
		Pools: i.pools.States(), Peers: statusPeers(i.members.Instances()),
	}
}

func statusPeers(members []member.Instance) []PeerStatus {
	out := make([]PeerStatus, 0, len(members))
	for _, m := range members {
		out = append(out, PeerStatus{ID: m.ID, Address: m.Address, Domain: m.Domain, State: m.State.String()})
	}
	return out
}
