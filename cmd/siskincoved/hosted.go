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
	kept := rows.New(s.Store.Address)
	orders := order.New(s.Promotion.Address, s.Instance.ID)
	i, err := hosted.New(ctx, hosted.Options{
		Settings: s, Clock: service, Logger: r.logger,
		Rows: kept, Decoder: sheet.Decoder{}, Dialer: line.Dialer{Clock: service}, Promoter: orders,
		Protocol: func(conn net.Conn) caller.Codec { return line.NewCallerCodec(conn) },
	})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	reload := reloader{file: r.file, current: s, clock: clock.System{}, logger: r.logger, signals: r.signals, take: func(next settings.Settings) {
		kept.Redirect(next.Store.Address)
		orders.Redirect(next.Promotion.Address)
		i.Reload(next)
	}}
	if i.Leave(reload.wait(ctx).Drain.Limit.Std()) > 0 {
		return exitFailure
	}
	return 0
}
