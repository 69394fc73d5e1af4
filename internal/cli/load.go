package cli

import (
	"context"
	"flag"
	"os"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/load"
)

func loadCommand() *command {
	var mixPath, targetsPath, output string
	return &command{
		name:     "load",
		group:    groupTest,
		synopsis: "Sends a mix of requests to routers on loopback and prints a report of the measurements",
		usage:    "-mix FILE -targets FILE [-o text|json]",
		setFlags: func(f *flag.FlagSet) {
			f.StringVar(&mixPath, "mix", "", "JSON file with the load mix")
			f.StringVar(&targetsPath, "targets", "", "JSON file with the addresses of the routers and the fake backend servers")
			f.StringVar(&output, "o", "text", "output format: text or json")
		},
		run: func(ctx context.Context, _ []string) error { return runLoad(ctx, mixPath, targetsPath, output) },
	}
}

func runLoad(ctx context.Context, mixPath, targetsPath, output string) error {
	if mixPath == "" || targetsPath == "" {
		return usageError("-mix and -targets are required")
	}
	mix, err := load.ReadMix(mixPath)
	if err != nil {
		return err
	}
	targets, err := load.ReadTargets(targetsPath)
	if err != nil {
		return err
	}
	report, err := load.Run(ctx, mix, targets)
	if err != nil {
		return err
	}
	if output == "json" {
		err = printJSON(report)
	} else {
		report.Print(os.Stdout)
	}
	if err == nil && report.NotWhole > 0 {
		return api.Errorf(api.CodeLoadNotWhole, "%d answers were truncated or did not belong to their request", report.NotWhole)
	}
	return err
}
