package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// promotion is the platform's service that promotes a backend.
type promotion struct {
	listener net.Listener
	record   *recorder
	groups   map[string]*group

	mu sync.Mutex
	// newest is the highest fence number seen, by service.
	newest map[string]uint64
}

func startPromotion(r *recorder, groups map[string]*group) *promotion {
	p := &promotion{listener: listen(), record: r, groups: groups, newest: make(map[string]uint64)}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /promotion", p.serve)
	go func() { _ = (&http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}).Serve(p.listener) }()
	return p
}

func (p *promotion) address() string { return p.listener.Addr().String() }

func (p *promotion) serve(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Service string `json:"service"`
		ID      string `json:"id"`
	}
	_ = json.NewDecoder(r.Body).Decode(&body)
	fence, _ := strconv.ParseUint(r.Header.Get("X-Fencing-Token"), 10, 64)
	p.mu.Lock()
	defer p.mu.Unlock()
	status := http.StatusConflict
	if g := p.groups[body.Service]; g != nil && fence >= p.newest[body.Service] {
		p.newest[body.Service] = fence
		if g.promote(body.ID) {
			status = http.StatusOK
		}
	}
	p.record.line("promotion of %s by %s with fence %d: %d", body.ID, r.Header.Get("X-Lease-Holder"), fence, status)
	w.WriteHeader(status)
}
