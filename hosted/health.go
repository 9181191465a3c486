package hosted

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/pprof"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"siskincove/event"
)

const (
	headerTimeout   = 5 * time.Second
	shutdownTimeout = 200 * time.Millisecond
)

// health serves readiness on one address, and metrics, status and profiles on another.
type health struct {
	instance *Instance
	leaving  atomic.Bool
	wasReady atomic.Bool
	done     chan struct{}
}

// Status is what an instance tells of itself at /status.
type Status struct {
	Instance      string   `json:"instance"`
	Domain        string   `json:"domain"`
	Ready         bool     `json:"ready"`
	Configuration uint64   `json:"configuration"`
	Endpoints     uint64   `json:"endpoints"`
	Sessions      int      `json:"sessions"`
	Peers         int      `json:"peers"`
	Leads         []Leader `json:"leads"`
}

// Leader is the endpoint that an instance takes for a database's primary.
type Leader struct {
	Database string `json:"database"`
	Endpoint string `json:"endpoint"`
	// Age is the time since the endpoint proved its lead, in ms.
	Age int64 `json:"age"`
}

func newHealth(ctx context.Context, l listeners, i *Instance) *health {
	h := &health{instance: i, done: make(chan struct{})}
	ready := http.NewServeMux()
	ready.HandleFunc("GET /readyz", h.serveReady)
	inside := http.NewServeMux()
	inside.HandleFunc("GET /status", h.serveStatus)
	inside.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	inside.HandleFunc("GET /debug/pprof/", pprof.Index)
	inside.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	var served sync.WaitGroup
	servers := []*http.Server{serve(&served, l.health, ready), serve(&served, l.metrics, inside)}
	go h.end(ctx, servers, &served)
	return h
}

func serve(served *sync.WaitGroup, listener net.Listener, handler http.Handler) *http.Server {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	served.Go(func() { _ = server.Serve(listener) })
	return server
}

// end shuts the servers down once ctx has ended.
func (h *health) end(ctx context.Context, servers []*http.Server, served *sync.WaitGroup) {
	defer close(h.done)
	<-ctx.Done()
	stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	for _, s := range servers {
		if s.Shutdown(stop) != nil {
			_ = s.Close()
		}
	}
	served.Wait()
}

func (h *health) leave() { h.leaving.Store(true) }

// ready reports whether callers may be sent here.
func (h *health) ready() bool {
	ready := !h.leaving.Load() && h.instance.directory.Catalog() != nil
	if ready && h.wasReady.CompareAndSwap(false, true) {
		h.instance.options.Logger.Log(event.Ready, log.Fields{"instance": h.instance.options.Settings.Instance.ID})
	}
	return ready
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
	v := i.directory.Versions()
	out := Status{
		Instance: i.options.Settings.Instance.ID, Domain: i.options.Settings.Instance.Domain, Ready: h.ready(),
		Configuration: v.Configuration, Endpoints: v.Endpoints, Sessions: i.callers.Sessions(), Peers: len(i.members.Instances()),
	}
	now := i.options.Clock.Now()
	for _, d := range i.databases.All() {
		lead, _ := d.View().Lead()
		out.Leads = append(out.Leads, Leader{Database: d.Name(), Endpoint: lead.Endpoint, Age: now.Sub(lead.At).Milliseconds()})
	}
	return out
}
