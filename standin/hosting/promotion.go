package hosting

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// PromotionFaults are the ways in which the promotion service fails.
type PromotionFaults struct {
	Down bool
	// LoseAnswers carries out this many of the next orders after Late, and gives no answer.
	LoseAnswers int
	Delay       time.Duration
}

// Order is a promotion that was asked for.
type Order struct {
	Holder string
	Fence  uint64
	Group  string
	ID     string
	Status int
}

// Promotion takes orders to promote an endpoint, each under a fencing token.
type Promotion struct {
	listener net.Listener
	server   *http.Server
	groups   map[string]*Group

	mu     sync.Mutex
	newest map[string]uint64
	faults PromotionFaults
	orders []Order
}

// NewPromotion starts the service on a loopback port.
func NewPromotion(groups ...*Group) (*Promotion, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Promotion{listener: listener, groups: make(map[string]*Group), newest: make(map[string]uint64)}
	for _, g := range groups {
		p.groups[g.options.Name] = g
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /promotion", p.order)
	p.server = &http.Server{Handler: mux}
	go func() { _ = p.server.Serve(listener) }()
	return p, nil
}

// Address returns the service's IP:port.
func (p *Promotion) Address() string { return p.listener.Addr().String() }

// Close ends the service.
func (p *Promotion) Close() { _ = p.server.Close() }

// Fail sets the service's faults.
func (p *Promotion) SetFaults(f PromotionFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Orders returns what was asked for, with the status that each order got.
func (p *Promotion) Orders() []Order {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]Order(nil), p.orders...)
}

func (p *Promotion) order(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Service string `json:"service"`
		ID      string `json:"id"`
	}
	_ = json.NewDecoder(r.Body).Decode(&body)
	fence, _ := strconv.ParseUint(r.Header.Get("X-Fencing-Token"), 10, 64)
	o := Order{Holder: r.Header.Get("X-Lease-Holder"), Fence: fence, Group: body.Service, ID: body.ID}
	p.mu.Lock()
	f := p.faults
	if f.LoseAnswers > 0 {
		p.faults.LoseAnswers--
	}
	p.mu.Unlock()
	switch {
	case f.Down:
		http.Error(w, "down", http.StatusServiceUnavailable)
	case f.LoseAnswers > 0:
		time.AfterFunc(f.Delay, func() { p.carryOut(o) })
		panic(http.ErrAbortHandler)
	default:
		w.WriteHeader(p.carryOut(o))
	}
}

// carryOut checks the fencing token when the order takes effect.
func (p *Promotion) carryOut(o Order) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	o.Status = http.StatusConflict
	g := p.groups[o.Group]
	if g != nil && o.Fence >= p.newest[o.Group] {
		p.newest[o.Group] = o.Fence
		if g.promote(o.ID) {
			o.Status = http.StatusOK
		}
	}
	p.orders = append(p.orders, o)
	return o.Status
}
