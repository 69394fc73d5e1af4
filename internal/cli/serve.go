package cli

import (
	"context"
	"flag"

	"peridotwinch.example/peridotwinch/internal/daemon"
	"peridotwinch.example/peridotwinch/internal/settings"
)

func serveCommand() *command {
	var path string
	return &command{
		name:     "serve",
		group:    groupDaemon,
		synopsis: "Runs a daemon with the roles of its settings",
		usage:    "-settings FILE",
		setFlags: func(f *flag.FlagSet) { f.StringVar(&path, "settings", "", "settings file in JSON") },
		run: func(ctx context.Context, _ []string) error {
			s, err := settings.Load(path)
			if err != nil {
				return err
			}
			d, err := daemon.New(s, newLogger(s.LogLevel))
			if err != nil {
				return err
			}
			return d.Run(ctx)
		},
	}
}
