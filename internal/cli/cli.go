// Package cli implements the commands of the command line, one file per command.
package cli

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/adapter"
	"peridotwinch.example/peridotwinch/internal/settings"
)

// Main runs the command that args name and returns the exit code. The settings of a daemon may
// select one of the adapters.
func Main(args []string, adapters adapter.Set) int {
	flags := flag.NewFlagSet("peridotwinch", flag.ContinueOnError)
	commander := subcommands.NewCommander(flags, "peridotwinch")
	commander.Register(commander.HelpCommand(), "")
	commander.Register(commander.FlagsCommand(), "")
	for _, command := range commands(adapters) {
		commander.Register(command, command.group)
	}
	if err := flags.Parse(args); err != nil {
		return api.ExitUsage
	}
	return int(commander.Execute(context.Background()))
}

func commands(adapters adapter.Set) []*command {
	return []*command{
		serveCommand(adapters), devCommand(), checkCommand(adapters), layoutCommand(),
		applyCommand(), getCommand(), deleteCommand(), statusCommand(),
		watchCommand(), auditCommand(), explainCommand(), evacuateCommand(),
		ledgerStatusCommand(), ledgerReplaceCommand(), ledgerRestartCommand(),
		fakeBackendCommand(), loadCommand(), experimentCommand(), versionCommand(),
	}
}

// CommandNames returns the names of all commands.
func CommandNames() []string {
	var names []string
	for _, command := range commands(nil) {
		names = append(names, command.name)
	}
	return names
}

// Command groups in the help text.
const (
	groupDaemon   = "daemons"
	groupOperator = "operators"
	groupTest     = "fake backend servers and tests"
)

// command describes a command of the command line. It implements subcommands.Command.
type command struct {
	name     string
	group    string
	synopsis string
	usage    string
	setFlags func(*flag.FlagSet)
	run      func(ctx context.Context, args []string) error
}

// Name implements subcommands.Command.
func (c *command) Name() string { return c.name }

// Synopsis implements subcommands.Command.
func (c *command) Synopsis() string { return c.synopsis }

// Usage implements subcommands.Command.
func (c *command) Usage() string {
	return fmt.Sprintf("peridotwinch %s %s\n%s.\n", c.name, c.usage, c.synopsis)
}

// SetFlags implements subcommands.Command.
func (c *command) SetFlags(flags *flag.FlagSet) {
	if c.setFlags != nil {
		c.setFlags(flags)
	}
}

// Execute implements subcommands.Command.
func (c *command) Execute(_ context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := c.run(ctx, flags.Args())
	if err == nil {
		return api.ExitOK
	}
	var status exitStatus
	if errors.As(err, &status) {
		return subcommands.ExitStatus(status)
	}
	printError(os.Stderr, err)
	return subcommands.ExitStatus(api.AsError(err).Code.Info().ExitCode)
}

// exitStatus ends a command that has printed its findings.
type exitStatus int

// Error implements error.
func (s exitStatus) Error() string { return fmt.Sprintf("exit status %d", int(s)) }

// printError prints each numbered error in JSON, one per line.
func printError(w io.Writer, err error) {
	encoder := json.NewEncoder(w)
	var list settings.Errors
	if errors.As(err, &list) {
		for _, numbered := range list {
			_ = encoder.Encode(&api.ErrorBody{Error: numbered})
		}
		return
	}
	_ = encoder.Encode(&api.ErrorBody{Error: api.AsError(err)})
}

func usageError(format string, args ...any) error {
	return api.Errorf(api.CodeUsage, format, args...)
}

// newLogger returns a logger that writes JSON lines to standard error. The command serve
// redirects it to its event log.
func newLogger(level string) zerolog.Logger {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil || level == "" {
		parsed = zerolog.InfoLevel
	}
	// Timestamps in milliseconds order the lines of several daemons.
	zerolog.TimeFieldFormat = "2006-01-02T15:04:05.000Z07:00"
	return zerolog.New(os.Stderr).Level(parsed).With().Timestamp().Logger()
}
