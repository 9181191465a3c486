package main

import (
	"context"
	"fmt"
	"net"
	"os"

	"siskincove/caller"
	"siskincove/clock"
	"siskincove/event"
	"siskincove/hosted"
	"siskincove/meter"
	"siskincove/platform/promotion"
	"siskincove/platform/protocol"
	"siskincove/platform/records"
	"siskincove/platform/rows"
	"siskincove/settings"
	"siskincove/store"
)

// Purposes of the connections to endpoints, in the counts of traffic.
const (
	purposeStatements = "statements"
	purposeProbes     = "probes"
)

// hostedOptions configure an instance that serves the platform's protocol.
type hostedOptions struct {
	settingsFile string
	settings     settings.Settings
	logger       *event.Logger
	signals      <-chan os.Signal
}

func runHosted(ctx context.Context, o hostedOptions) int {
	s := o.settings
	clk := clock.Boot{}
	rowStore := rows.New(s.Store.Address)
	traffic := meter.NewTraffic()
	promoter := promotion.New(s.Promotion.Address, s.Instance.ID)
	i, err := hosted.New(ctx, hosted.Options{
		Settings: s, Clock: clk, Logger: o.logger,
		Rows: store.NewMetered(rowStore, traffic), Decoder: records.Decoder{}, Promoter: promoter, Traffic: traffic,
		Dialer:      protocol.Dialer{Clock: clk, Traffic: traffic, Purpose: purposeStatements, Domain: s.Instance.Domain},
		ProbeDialer: protocol.Dialer{Clock: clk, Traffic: traffic, Purpose: purposeProbes, Domain: s.Instance.Domain},
		Protocol:    func(conn net.Conn) caller.Codec { return protocol.NewCallerCodec(conn) },
	})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	reload := reloader{file: o.settingsFile, current: s, clock: clock.System{}, logger: o.logger, signals: o.signals, apply: func(next settings.Settings) {
		rowStore.Redirect(next.Store.Address)
		promoter.Redirect(next.Promotion.Address)
		i.Reload(next)
	}}
	if i.Shutdown(reload.wait(ctx).Drain.Limit.Std()) > 0 {
		return exitFailure
	}
	return 0
}
