package hosting

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// PromotionFaults are the injectable faults of the promotion service.
type PromotionFaults struct {
	// Down answers every request with 503.
	Down bool
	// LoseAnswers executes this many of the next requests after Delay, without an answer.
	LoseAnswers int
	Delay       time.Duration
	// Withhold keeps requests without an answer until Release executes them.
	Withhold bool
	// OnRequest, if set, is called with the id of the endpoint to be promoted when a request arrives.
	OnRequest func(id string)
}

// PromotionRequest is a promotion request: its lease holder, fencing token, group and endpoint id and, once it was handled, the HTTP
// status of the answer and the time.
type PromotionRequest struct {
	Holder string
	Fence  uint64
	Group  string
	ID     string
	Status int
	At     time.Time
}

// Promotion is the platform's promotion service; each request carries a fencing token.
type Promotion struct {
	listener net.Listener
	server   *http.Server
	groups   map[string]*Group

	mu sync.Mutex
	// newestToken is the highest fencing token accepted for each group.
	newestToken map[string]uint64
	faults      PromotionFaults
	requests    []PromotionRequest
	withheld    []PromotionRequest
}

// NewPromotion starts the service for the groups on a loopback port.
func NewPromotion(groups ...*Group) (*Promotion, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Promotion{listener: listener, groups: make(map[string]*Group), newestToken: make(map[string]uint64)}
	for _, g := range groups {
		p.groups[g.options.Name] = g
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /promotion", p.servePromotion)
	p.server = &http.Server{Handler: mux}
	go func() { _ = p.server.Serve(listener) }()
	return p, nil
}

// Address returns the service's IP:port.
func (p *Promotion) Address() string { return p.listener.Addr().String() }

// Close stops the service.
func (p *Promotion) Close() { _ = p.server.Close() }

// SetFaults replaces the service's faults.
func (p *Promotion) SetFaults(f PromotionFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Requests returns the handled requests in order.
func (p *Promotion) Requests() []PromotionRequest {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]PromotionRequest(nil), p.requests...)
}

// Withheld returns the requests that are withheld, in order of their arrival.
func (p *Promotion) Withheld() []PromotionRequest {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]PromotionRequest(nil), p.withheld...)
}

// Release executes the withheld requests in order of their arrival and ends the faults.
func (p *Promotion) Release() {
	p.mu.Lock()
	withheld := p.withheld
	p.withheld, p.faults = nil, PromotionFaults{}
	p.mu.Unlock()
	for _, request := range withheld {
		p.execute(request)
	}
}

func (p *Promotion) servePromotion(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Service string `json:"service"`
		ID      string `json:"id"`
	}
	_ = json.NewDecoder(r.Body).Decode(&body)
	fence, _ := strconv.ParseUint(r.Header.Get("X-Fencing-Token"), 10, 64)
	request := PromotionRequest{Holder: r.Header.Get("X-Lease-Holder"), Fence: fence, Group: body.Service, ID: body.ID}
	p.mu.Lock()
	f := p.faults
	if f.LoseAnswers > 0 {
		p.faults.LoseAnswers--
	}
	if f.Withhold {
		p.withheld = append(p.withheld, request)
	}
	p.mu.Unlock()
	if f.OnRequest != nil {
		f.OnRequest(body.ID)
	}
	switch {
	case f.Withhold:
		panic(http.ErrAbortHandler)
	case f.Down:
		http.Error(w, "down", http.StatusServiceUnavailable)
	case f.LoseAnswers > 0:
		time.AfterFunc(f.Delay, func() { p.execute(request) })
		panic(http.ErrAbortHandler)
	default:
		w.WriteHeader(p.execute(request))
	}
}

// execute promotes the endpoint unless a higher fencing token was accepted before. The token is checked when the
// request takes effect rather than when it arrives, so that a delayed request can be found outdated.
func (p *Promotion) execute(request PromotionRequest) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	request.Status = http.StatusConflict
	g := p.groups[request.Group]
	if g != nil && request.Fence >= p.newestToken[request.Group] {
		p.newestToken[request.Group] = request.Fence
		if g.promote(request.ID) {
			request.Status = http.StatusOK
		}
	}
	request.At = time.Now()
	p.requests = append(p.requests, request)
	return request.Status
}
