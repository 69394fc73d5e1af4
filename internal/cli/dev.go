package cli

import (
	"context"
	_ "embed"
	"flag"
	"os"
	"strings"
	"time"

	"github.com/oklog/run"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/actor"
	"peridotwinch.example/peridotwinch/internal/daemon"
	"peridotwinch.example/peridotwinch/internal/fakebackend"
	"peridotwinch.example/peridotwinch/internal/settings"
)

//go:embed dev/settings.json
var devSettings []byte

//go:embed dev/resources.json
var devResources string

// devBackends is the number of fake backend servers in development mode.
const devBackends = 2

// devApplyRetryDelay is the delay between two attempts to apply a resource.
const devApplyRetryDelay = 200 * time.Millisecond

func devCommand() *command {
	var dataDir string
	return &command{
		name:     "dev",
		group:    groupDaemon,
		synopsis: "Runs all roles and two fake backend servers in one process",
		usage:    "[-data DIR]",
		setFlags: func(f *flag.FlagSet) {
			f.StringVar(&dataDir, "data", "", "data directory; empty for a temporary directory")
		},
		run: func(ctx context.Context, _ []string) error { return runDev(ctx, dataDir) },
	}
}

func runDev(ctx context.Context, dataDir string) error {
	s, err := settings.Parse(devSettings)
	if err != nil {
		return err
	}
	if dataDir == "" {
		if dataDir, err = os.MkdirTemp("", "peridotwinch-dev-"); err != nil {
			return errors.Wrap(err, "create a temporary data directory")
		}
		defer func() { _ = os.RemoveAll(dataDir) }()
	}
	s.DataDir = dataDir
	log := newLogger(s.LogLevel)
	d, err := daemon.New(s, nil, log)
	if err != nil {
		return err
	}
	var group run.Group
	actor.AddDraining(&group, func(actorCtx context.Context) error {
		ctx, cancel := context.WithCancel(ctx)
		context.AfterFunc(actorCtx, cancel)
		return d.Run(ctx)
	})
	actor.Add(&group, func(ctx context.Context) error { return applyDev(ctx, s, log) })
	if err := addDevBackends(&group, s, log); err != nil {
		return err
	}
	return group.Run()
}

func addDevBackends(group *run.Group, s *settings.Settings, log zerolog.Logger) error {
	for range devBackends {
		server, err := fakebackend.New(fakebackend.Config{
			Listen: "127.0.0.1:0", Announce: []string{s.Listen.Backends}, Pool: "engine:demo",
			Slots: fakebackend.DefaultSlots, TokenTime: fakebackend.DefaultTokenTime, AnnounceEvery: fakebackend.DefaultAnnounceEvery,
		}, log)
		if err != nil {
			return err
		}
		server.AddActors(group)
	}
	return nil
}

// applyDev applies the development resources, retrying until each succeeds, then waits until
// ctx ends.
func applyDev(ctx context.Context, s *settings.Settings, log zerolog.Logger) error {
	resources, err := readResources(strings.NewReader(devResources))
	if err != nil {
		return err
	}
	client := api.NewClient(s.Listen.Operators, "dev")
	for _, resource := range resources {
		applyWithRetry(ctx, client, resource, log)
	}
	<-ctx.Done()
	return nil
}

func applyWithRetry(ctx context.Context, client *api.Client, resource *api.Resource, log zerolog.Logger) {
	for ctx.Err() == nil {
		_, err := client.Apply(ctx, resource)
		if err == nil {
			return
		}
		log.Debug().Err(err).Str("resource", string(resource.Names.Refs()[0])).Msg("resource not applied; retrying")
		time.Sleep(devApplyRetryDelay)
	}
}
