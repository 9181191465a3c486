package main

import (
	"context"
	"crypto/tls"
	"fmt"
	"time"

	"siskincove/clock"
	"siskincove/standin/group"
)

type groupCommand struct {
	Vendor      string        `help:"Dialect of the members: postgres or managed." enum:"postgres,managed" default:"postgres"`
	Address     []string      `help:"Listening address of each member, IP:port." default:"127.0.0.1:0,127.0.0.1:0,127.0.0.1:0"`
	Domain      []string      `help:"Failure domain of each member, as region/domain."`
	Slots       int           `help:"Transactions that a member runs at once." default:"5"`
	Connections int           `help:"Connections that a member admits." default:"80"`
	Cost        time.Duration `help:"Time that a new connection costs." default:"0s"`
	Work        time.Duration `help:"Time that a statement occupies its slot." default:"0s"`
	Domains     time.Duration `help:"One-way delay between failure domains of a region." default:"0s"`
	Regions     time.Duration `help:"One-way delay between regions." default:"0s"`
	ReceiveLag  time.Duration `help:"Delay of records on their way to every member." default:"0s"`
	ApplyLag    time.Duration `help:"Delay of the application of records at every member." default:"0s"`
	Certificate string        `help:"Certificate of the members, in PEM; none leaves them in plain text."`
	Key         string        `help:"Key of the certificate."`
	Control     string        `help:"Listening address of the control interface, IP:port." default:"127.0.0.1:0"`
}

// Run serves the group until a signal ends it. It first prints the addresses of the members and of the control interface.
func (c *groupCommand) Run(ctx context.Context) error {
	tlsConfig, err := c.tls()
	if err != nil {
		return err
	}
	g, err := group.New(ctx, clock.System{}, group.Options{
		Vendor: c.Vendor, Addresses: c.Address, Domains: c.Domain, Slots: c.Slots, Connections: c.Connections,
		ConnectDelay: c.Cost, Work: c.Work, Delays: group.NetworkDelays{BetweenDomains: c.Domains, BetweenRegions: c.Regions}, TLS: tlsConfig,
	})
	if err != nil {
		return err
	}
	for _, m := range g.Members() {
		m.SetFaults(func(f group.Faults) group.Faults {
			f.ReceiveLag, f.ApplyLag = c.ReceiveLag, c.ApplyLag
			return f
		})
	}
	for _, address := range g.Addresses() {
		fmt.Println("endpoint", address)
	}
	err = serveHTTP(ctx, c.Control, g.Control())
	<-g.Done()
	return err
}

func (c *groupCommand) tls() (*tls.Config, error) {
	if c.Certificate == "" {
		return nil, nil
	}
	pair, err := tls.LoadX509KeyPair(c.Certificate, c.Key)
	return &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS12}, err
}
