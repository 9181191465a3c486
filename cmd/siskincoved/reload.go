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

// settingsPollInterval is how often the settings file is checked for changes made without a signal.
const settingsPollInterval = 5 * time.Second

// reloader applies changes of the settings file to a running instance.
type reloader struct {
	file    string
	current settings.Settings
	clock   clock.Service
	logger  *event.Logger
	signals <-chan os.Signal
	// apply applies new settings except for the log level, which reloader sets itself.
	apply func(settings.Settings)
}

// wait blocks until a signal asks the instance to shut down, and returns the current settings. Until then it reloads the
// file on SIGHUP and whenever the file changes. An invalid file leaves the settings as they are.
func (r *reloader) wait(ctx context.Context) settings.Settings {
	lastModified := modTime(r.file)
	ticks := r.clock.Every(ctx, settingsPollInterval)
	for {
		select {
		case signal := <-r.signals:
			if signal != syscall.SIGHUP {
				return r.current
			}
		case <-ticks:
			if modTime(r.file).Equal(lastModified) {
				continue
			}
		}
		lastModified = modTime(r.file)
		r.reload()
	}
}

// modTime returns the modification time of a file, or the zero time if it can't be read.
func modTime(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

func (r *reloader) reload() {
	loaded, _, problems := settings.Load(r.file)
	if len(problems) > 0 {
		r.logger.Log(event.SettingsFailed, log.Fields{"file": r.file, "error": problems.Error()})
		return
	}
	next, change := r.current.Reload(loaded)
	r.current = next
	r.logger.SetLevel(parseLevel(next.Log))
	r.apply(next)
	r.logger.Log(event.SettingsReloaded, log.Fields{
		"file": r.file, "taken": strings.Join(change.Applied, ","), "waiting": strings.Join(change.NeedRestart, ","),
	})
}

// parseLevel returns the log level of validated settings.
func parseLevel(s settings.Log) log.Level {
	parsed, err := log.ParseLevel(s.Level)
	if err != nil {
		return log.InfoLevel
	}
	return parsed
}
