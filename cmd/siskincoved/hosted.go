package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/apex/log"

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
	r.wait(ctx)
	if i.Leave(s.Drain.Limit.Std()) > 0 {
		return exitFailure
	}
	return 0
}

// settingsInterval is how often the settings file is looked at, since it may change without a signal.
const settingsInterval = 5 * time.Second

// wait returns once a signal asks the instance to leave. Until then it checks the settings file whenever that changes:
// what is not valid is told at once, and not at the next start. Only a start takes the changes over.
func (r hostedRun) wait(ctx context.Context) {
	known := modified(r.file)
	ticks := clock.System{}.Every(ctx, settingsInterval)
	for {
		select {
		case signal := <-r.signals:
			if signal != syscall.SIGHUP {
				return
			}
		case <-ticks:
			if modified(r.file).Equal(known) {
				continue
			}
		}
		known = modified(r.file)
		r.reload()
	}
}

// modified returns when a file was changed last, the zero time if it can't be told.
func modified(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

func (r hostedRun) reload() {
	if _, _, problems := settings.Load(r.file); len(problems) > 0 {
		r.logger.Log(event.SettingsFailed, log.Fields{"file": r.file, "error": problems.Error()})
		return
	}
	r.logger.Log(event.SettingsReloaded, log.Fields{"file": r.file})
}
