package cli

import (
	"context"
	"flag"
	"strings"

	"github.com/oklog/run"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/actor"
	"peridotwinch.example/peridotwinch/internal/fakebackend"
)

func fakeBackendCommand() *command {
	config := fakebackend.Config{}
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
			f.IntVar(&config.Slots, "slots", fakebackend.DefaultSlots, "requests that the server works on at once")
			f.DurationVar(&config.TokenTime, "token-time", fakebackend.DefaultTokenTime, "time between two tokens")
			f.DurationVar(&config.AnnounceEvery, "announce-every", fakebackend.DefaultAnnounceEvery, "time between two announcements")
			setEngineFlags(f, &config)
			setFaultFlags(f, &config)
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

func setEngineFlags(f *flag.FlagSet, config *fakebackend.Config) {
	f.DurationVar(&config.BatchTime, "batch-time", fakebackend.DefaultBatchTime, "time that each further request of the batch adds to a token")
	f.DurationVar(&config.PromptTime, "prompt-time", fakebackend.DefaultPromptTime, "time for a prompt token that is not cached")
	f.DurationVar(&config.ServiceTime, "service-time", 0, "time for a call of a plain service")
	f.IntVar(&config.CacheTokens, "cache-tokens", fakebackend.DefaultCacheTokens, "size of the prefix cache in tokens")
	f.DurationVar(&config.EventDelay, "event-delay", 0, "age at which a cache event is published")
	f.Float64Var(&config.EventLoss, "event-loss", 0, "share of cache events that are lost")
	f.DurationVar(&config.ReportLag, "report-lag", 0, "age of the load reports")
}

func setFaultFlags(f *flag.FlagSet, config *fakebackend.Config) {
	f.Float64Var(&config.SlowFactor, "slow-factor", 1, "how many times as long work takes on a straggler")
	f.DurationVar(&config.SlowEvery, "slow-every", 0, "mean pause between slow periods; zero for always slow")
	f.DurationVar(&config.SlowFor, "slow-for", 0, "length of a slow period")
	f.BoolVar(&config.EarlyHead, "early-head", false, "send the head of a stream before its first token")
	f.BoolVar(&config.NoResume, "no-resume", false, "ignore the resume header")
	f.BoolVar(&config.ChecksFencing, "checks-fencing", false, "refuse orders with an old fencing token")
	f.DurationVar(&config.DrainGrace, "drain-grace", fakebackend.DefaultDrainGrace, "time that a draining server still takes new requests")
	f.Uint64Var(&config.Seed, "seed", 1, "seed of the random choices")
}

func runFake(ctx context.Context, config fakebackend.Config) error {
	log := newLogger("")
	server, err := fakebackend.New(config, log)
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
