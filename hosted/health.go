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

// health serves /readyz on the health address, and /metrics, /status and /debug/pprof on the metrics address.
type health struct {
	instance     *Instance
	shuttingDown atomic.Bool
	readyLogged  atomic.Bool
	done         chan struct{}
}

// Status is the JSON response of /status.
type Status struct {
	Instance      string `json:"instance"`
	Domain        string `json:"domain"`
	Ready         bool   `json:"ready"`
	Configuration uint64 `json:"configuration"`
	Endpoints     uint64 `json:"endpoints"`
	Workspaces    int    `json:"workspaces"`
	Sessions      int    `json:"sessions"`
	Peers         int    `json:"peers"`
	// ProofAge is the time since the configuration was known to be the newest, in ms; only if proofs are needed.
	ProofAge int64           `json:"proofage,omitempty"`
	Leads    []PrimaryStatus `json:"leads"`
}

// PrimaryStatus is the endpoint that an instance considers the primary of a database.
type PrimaryStatus struct {
	Database string `json:"database"`
	Endpoint string `json:"endpoint"`
	// Age is the time since the last proof that the endpoint leads, in ms.
	Age int64 `json:"age"`
}

func newHealth(ctx context.Context, l listeners, i *Instance) *health {
	h := &health{instance: i, done: make(chan struct{})}
	ready := http.NewServeMux()
	ready.HandleFunc("GET /readyz", h.serveReady)
	internal := http.NewServeMux()
	internal.HandleFunc("GET /status", h.serveStatus)
	internal.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	internal.HandleFunc("GET /debug/pprof/", pprof.Index)
	internal.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	var serving sync.WaitGroup
	servers := []*http.Server{serve(&serving, l.health, ready), serve(&serving, l.metrics, internal)}
	go h.shutDown(ctx, servers, &serving)
	return h
}

func serve(serving *sync.WaitGroup, listener net.Listener, handler http.Handler) *http.Server {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	serving.Go(func() { _ = server.Serve(listener) })
	return server
}

// shutDown shuts the servers down once ctx has ended.
func (h *health) shutDown(ctx context.Context, servers []*http.Server, serving *sync.WaitGroup) {
	defer close(h.done)
	<-ctx.Done()
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	for _, s := range servers {
		if s.Shutdown(shutdownCtx) != nil {
			_ = s.Close()
		}
	}
	serving.Wait()
}

func (h *health) setShuttingDown() { h.shuttingDown.Store(true) }

// ready reports whether the instance accepts callers: it has a configuration, which is proven to be the newest
// if that is needed, and is not shutting down. It logs the first time that this is so.
func (h *health) ready() bool {
	ready := !h.shuttingDown.Load() && h.instance.directory.Catalog() != nil && h.instance.freshness.Ready()
	if ready && h.readyLogged.CompareAndSwap(false, true) {
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
		Configuration: v.Configuration, Endpoints: uint64(v.Endpoints), Sessions: i.callers.Sessions(), Peers: len(i.members.Instances()),
	}
	if _, age, proven := i.freshness.Claim(); proven {
		out.ProofAge = age.Milliseconds()
	}
	if catalog := i.directory.Catalog(); catalog != nil {
		out.Workspaces = catalog.Workspaces()
	}
	now := i.options.Clock.Now()
	for _, d := range i.databases.All() {
		lead, _ := d.View().Lead()
		out.Leads = append(out.Leads, PrimaryStatus{Database: d.Name(), Endpoint: lead.Endpoint, Age: now.Sub(lead.At).Milliseconds()})
	}
	return out
}
