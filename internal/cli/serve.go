package cli

import (
	"context"
	"flag"
	"os"
	"time"

	"peridotwinch.example/peridotwinch/internal/adapter"
	"peridotwinch.example/peridotwinch/internal/daemon"
	"peridotwinch.example/peridotwinch/internal/eventlog"
	"peridotwinch.example/peridotwinch/internal/settings"
)

// Environment variables with the defaults of -settings, -fault-tolerance and -process-memory.
const (
	settingsVariable       = "PERIDOTWINCH_SETTINGS"
	faultToleranceVariable = "PERIDOTWINCH_FAULT_TOLERANCE"
	processMemoryVariable  = "PERIDOTWINCH_PROCESS_MEMORY_MB"
)

func serveCommand(adapters adapter.Set) *command {
	var path, faultTolerance, processMemory string
	return &command{
		name:     "serve",
		group:    groupDaemon,
		synopsis: "Runs a daemon with the roles that its settings list",
		usage:    "-settings FILE [-fault-tolerance N] [-process-memory MB]",
		setFlags: func(f *flag.FlagSet) {
			f.StringVar(&path, "settings", os.Getenv(settingsVariable), "JSON settings file; $"+settingsVariable+" by default")
			f.StringVar(&faultTolerance, "fault-tolerance", os.Getenv(faultToleranceVariable),
				"join.faultTolerance if the settings do not state it; $"+faultToleranceVariable+" by default")
			f.StringVar(&processMemory, "process-memory", os.Getenv(processMemoryVariable),
				"memory.processMb if the settings do not state it; $"+processMemoryVariable+" by default")
		},
		run: func(ctx context.Context, _ []string) error {
			s, err := settings.Load(path)
			if err != nil {
				return err
			}
			if err := s.SetFaultTolerance(faultTolerance); err != nil {
				return err
			}
			if err := s.SetProcessMemory(processMemory); err != nil {
				return err
			}
			lines := eventlog.NewWriter(os.Stdout)
			defer lines.Close()
			log := newLogger(s.LogLevel).Output(lines).Hook(eventlog.NewBudget(time.Now()))
			d, err := daemon.New(s, adapters, log)
			if err != nil {
				return err
			}
			d.WatchSettings(path)
			return d.Run(ctx)
		},
	}
}
