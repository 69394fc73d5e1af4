package cli

import (
	"context"
	"flag"
	"strings"

	"github.com/oklog/run"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/actor"
	"peridotwinch.example/peridotwinch/internal/fake"
)

func fakeBackendCommand() *command {
	config := fake.Config{}
	var announce, models, pool string
	return &command{
		name:     "fake-backend",
		group:    groupTest,
		synopsis: "Runs a stand-in backend server",
		usage:    "-listen ADDRESS -announce ADDRESS[,ADDRESS] -pool NAME",
		setFlags: func(f *flag.FlagSet) {
			f.StringVar(&config.Listen, "listen", "127.0.0.1:0", "IP address and port for requests")
			f.StringVar(&announce, "announce", "127.0.0.1:8081", "routers' addresses for announcements")
			f.StringVar(&pool, "pool", "", "pool that the server belongs to")
			f.StringVar(&models, "models", "", "models that the server has loaded, separated by commas")
			f.IntVar(&config.Slots, "slots", fake.DefaultSlots, "requests that the server works on at once")
			f.DurationVar(&config.TokenTime, "token-time", fake.DefaultTokenTime, "time between two tokens")
			f.DurationVar(&config.AnnounceEvery, "announce-every", fake.DefaultAnnounceEvery, "time between two announcements")
		},
		run: func(ctx context.Context, _ []string) error {
			config.Announce = strings.Split(announce, ",")
			config.Pool = api.Ref(pool)
			if models != "" {
				config.Models = strings.Split(models, ",")
			}
			return runFake(ctx, config)
		},
	}
}

func runFake(ctx context.Context, config fake.Config) error {
	log := newLogger("")
	server, err := fake.New(config, log)
	if err != nil {
		return err
	}
	log.Info().Str("address", server.Address()).Msg("serving")
	var group run.Group
	actor.Add(&group, untilDone(ctx))
	server.AddActors(&group)
	return group.Run()
}

// untilDone returns an actor that ends with ctx.
func untilDone(ctx context.Context) actor.Func {
	return func(own context.Context) error {
		select {
		case <-ctx.Done():
		case <-own.Done():
		}
		return nil
	}
}
