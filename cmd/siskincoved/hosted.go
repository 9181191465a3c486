package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"syscall"

	"siskincove/caller"
	"siskincove/clock"
	"siskincove/event"
	"siskincove/hosted"
	"siskincove/platform/line"
	"siskincove/platform/order"
	"siskincove/platform/rows"
	"siskincove/platform/sheet"
	"siskincove/settings"
)

// hostedRun is what an instance on the platform is run with.
type hostedRun struct {
	file     string
	settings settings.Settings
	logger   *event.Logger
	signals  <-chan os.Signal
}

func runHosted(ctx context.Context, r hostedRun) int {
	s := r.settings
	service := clock.Boot{}
	i, err := hosted.New(ctx, hosted.Options{
		Settings: s, Clock: service, Logger: r.logger,
		Rows: rows.New(s.Store.Address), Decoder: sheet.Decoder{}, Dialer: line.Dialer{Clock: service},
		Promoter: order.New(s.Promotion.Address, s.Instance.ID),
		Protocol: func(conn net.Conn) caller.Codec { return line.NewCaller(conn) },
	})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	for signal := range r.signals {
		if signal != syscall.SIGHUP {
			break
		}
	}
	if i.Leave(s.Drain.Limit.Std()) > 0 {
		return exitFailure
	}
	return 0
}
