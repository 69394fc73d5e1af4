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
		synopsis: "Runs a fake backend server",
		usage:    "-listen ADDRESS -announce ADDRESS[,ADDRESS] -pool NAME",
		setFlags: func(f *flag.FlagSet) {
			f.StringVar(&config.Listen, "listen", "127.0.0.1:0", "IP address and port to listen on for requests")
			f.StringVar(&announce, "announce", "127.0.0.1:8081", "addresses to send announcements to, separated by commas")
			f.StringVar(&pool, "pool", "", "pool of the server")
			f.StringVar(&models, "models", "", "models that the server has loaded, separated by commas")
			f.IntVar(&config.Slots, "slots", fakebackend.DefaultSlots, "number of requests that the server processes concurrently")
			f.DurationVar(&config.TokenTime, "token-time", fakebackend.DefaultTokenTime, "interval between two tokens of an answer")
			f.DurationVar(&config.AnnounceEvery, "announce-every", fakebackend.DefaultAnnounceEvery, "interval between two announcements")
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
	f.DurationVar(&config.BatchTime, "batch-time", fakebackend.DefaultBatchTime, "time added to -token-time for each further request in the batch")
	f.DurationVar(&config.PromptTime, "prompt-time", fakebackend.DefaultPromptTime, "time to process one prompt token that is not cached")
	f.DurationVar(&config.ServiceTime, "service-time", 0, "duration of a call to a plain service")
	f.IntVar(&config.CacheTokens, "cache-tokens", fakebackend.DefaultCacheTokens, "size of the prefix cache in tokens")
	f.DurationVar(&config.EventDelay, "event-delay", 0, "delay before a cache event is published")
	f.Float64Var(&config.EventLoss, "event-loss", 0, "fraction of cache events that are never published, from 0 to 1")
	f.DurationVar(&config.ReportLag, "report-lag", 0, "age of the load value in announcements")
}

func setFaultFlags(f *flag.FlagSet, config *fakebackend.Config) {
	f.Float64Var(&config.SlowFactor, "slow-factor", 1, "factor that multiplies the duration of work on a straggler")
	f.DurationVar(&config.SlowEvery, "slow-every", 0, "mean gap between slow periods; 0 for always slow")
	f.DurationVar(&config.SlowFor, "slow-for", 0, "length of a slow period")
	f.BoolVar(&config.EarlyHead, "early-head", false, "send the response headers of a stream before its first token")
	f.BoolVar(&config.NoResume, "no-resume", false, "ignore the Peridotwinch-Resume-Offset header")
	f.BoolVar(&config.RepeatAnswers, "repeat-answers", false, "send each answer to a router again when the next request of its connection arrives")
	f.BoolVar(&config.ChecksFencing, "checks-fencing", false, "refuse orders whose fencing token is below the highest one seen")
	f.DurationVar(&config.DrainGrace, "drain-grace", fakebackend.DefaultDrainGrace, "how long a draining server still accepts new requests")
	f.Uint64Var(&config.Seed, "seed", 1, "seed of the random number generator")
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

// untilDone returns an actor that runs until ctx or the actor's own context ends.
func untilDone(ctx context.Context) actor.Func {
	return func(actorCtx context.Context) error {
		select {
		case <-ctx.Done():
		case <-actorCtx.Done():
		}
		return nil
	}
}
