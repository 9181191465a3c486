package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"siskincove/standin/group"
	"siskincove/standin/link"
)

type linkCommand struct {
	Listen  string        `help:"Listening address of the proxy, IP:port." default:"127.0.0.1:0"`
	Control string        `help:"Listening address of the control interface, IP:port." default:"127.0.0.1:0"`
	Place   []string      `help:"Where addresses are, as IP:port=region/domain."`
	Domains time.Duration `help:"One-way delay between failure domains of a region." default:"0s"`
	Regions time.Duration `help:"One-way delay between regions." default:"0s"`
}

// Run proxies connections between instances until a signal ends it. POST /cut?from=&to=&value=true on the control
// interface closes and refuses the connections dialled from one failure domain to another; value=false allows them again.
func (c *linkCommand) Run(ctx context.Context) error {
	delays := group.NetworkDelays{BetweenDomains: c.Domains, BetweenRegions: c.Regions}
	proxy := link.NewProxy(delays.Delay)
	for _, place := range c.Place {
		address, domain, _ := strings.Cut(place, "=")
		proxy.SetDomain(address, domain)
	}
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return errors.Wrap(err, "proxy listener")
	}
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	go proxy.Serve(ctx, listener)
	fmt.Println("proxy", listener.Addr())
	return serveHTTP(ctx, c.Control, cutHandler(proxy))
}

func cutHandler(proxy *link.Proxy) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /cut", func(w http.ResponseWriter, r *http.Request) {
		cut, err := strconv.ParseBool(r.FormValue("value"))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		proxy.Cut(r.FormValue("from"), r.FormValue("to"), cut)
	})
	return mux
}
