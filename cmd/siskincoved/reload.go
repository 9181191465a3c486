package main

import (
	"context"
	"os"
	"strings"
	"syscall"
	"time"

	"github.com/apex/log"

	"siskincove/clock"
	"siskincove/event"
	"siskincove/settings"
)

// settingsInterval is how often the settings file is looked at, since it may change without a signal.
const settingsInterval = 5 * time.Second

// reloader takes changes of the settings file over while an instance runs.
type reloader struct {
	file    string
	current settings.Settings
	clock   clock.Service
	logger  *event.Logger
	signals <-chan os.Signal
	// take puts settings in force, but for the log's level.
	take func(settings.Settings)
}

// wait returns the settings in force once a signal asks the instance to leave. Until then the file is read again on
// SIGHUP and whenever it changes; one that is not valid changes nothing.
func (r *reloader) wait(ctx context.Context) settings.Settings {
	known := modified(r.file)
	ticks := r.clock.Every(ctx, settingsInterval)
	for {
		select {
		case signal := <-r.signals:
			if signal != syscall.SIGHUP {
				return r.current
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

func (r *reloader) reload() {
	read, _, problems := settings.Load(r.file)
	if len(problems) > 0 {
		r.logger.Log(event.SettingsFailed, log.Fields{"file": r.file, "error": problems.Error()})
		return
	}
	next, change := r.current.Reload(read)
	r.current = next
	r.logger.SetLevel(level(next.Log))
	r.take(next)
	r.logger.Log(event.SettingsReloaded, log.Fields{
		"file": r.file, "taken": strings.Join(change.Applied, ","), "waiting": strings.Join(change.NeedRestart, ","),
	})
}

// level returns the level that checked settings name.
func level(s settings.Log) log.Level {
	parsed, err := log.ParseLevel(s.Level)
	if err != nil {
		return log.InfoLevel
	}
	return parsed
}
