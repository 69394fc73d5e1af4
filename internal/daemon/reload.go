package daemon

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"peridotwinch.example/peridotwinch/internal/settings"
)

// reloadInterval is the interval at which the settings file is polled: it may change without a
// signal, and a change must take effect within 2 s.
const reloadInterval = time.Second

// reloader is a role that applies changed settings without a restart.
type reloader interface {
	Reload(s *settings.Settings)
}

// WatchSettings adds an actor that applies changes of the settings file, on SIGHUP and by
// polling the file. Only changes of the seeds take effect while the daemon runs; an invalid
// file changes nothing. WatchSettings must be called before Run.
func (d *Daemon) WatchSettings(path string) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	d.extraActors = append(d.extraActors, func(ctx context.Context) error {
		defer signal.Stop(hup)
		ticker := time.NewTicker(reloadInterval)
		defer ticker.Stop()
		// Assumes that the file has not changed since the daemon read its settings.
		current, _ := os.ReadFile(path)
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-hup:
				d.log.Info().Msg("SIGHUP received; reading the settings file")
			case <-ticker.C:
			}
			current = d.reload(path, current)
		}
	})
}

// reload applies the settings file if it differs from current and is valid. It returns the
// file's content, or current if the file cannot be read.
func (d *Daemon) reload(path string, current []byte) []byte {
	raw, err := os.ReadFile(path)
	if err != nil {
		d.log.Warn().Err(err).Msg("cannot read the settings file; the current settings remain in force")
		return current
	}
	if bytes.Equal(raw, current) {
		return current
	}
	changed, err := settings.Parse(raw)
	if err != nil {
		d.log.Error().Err(err).Msg("changed settings file is not valid; the current settings remain in force")
		return raw
	}
	for _, r := range d.roles {
		if reloadable, ok := r.(reloader); ok {
			reloadable.Reload(changed)
		}
	}
	event := d.log.Info()
	if changed.Join != nil {
		event = event.Strs("seeds", changed.Join.Seeds)
	}
	event.Msg("settings reloaded")
	return raw
}
