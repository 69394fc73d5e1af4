package cli

import (
	"context"
	"flag"
	"os"

	"peridotwinch.example/peridotwinch/internal/experiment"
)

func experimentCommand() *command {
	var output string
	return &command{
		name:     "experiment",
		group:    groupTest,
		synopsis: "Simulates and measures routing policies in virtual time",
		usage:    "[-o text|json] FILE...",
		setFlags: func(f *flag.FlagSet) { f.StringVar(&output, "o", "text", "output format: text or json") },
		run:      func(_ context.Context, args []string) error { return runExperiments(args, output) },
	}
}

func runExperiments(paths []string, output string) error {
	if len(paths) == 0 {
		return usageError("at least one experiment description file is required")
	}
	if output != "text" && output != "json" {
		return usageError("unknown output format %q; want text or json", output)
	}
	for _, path := range paths {
		description, err := experiment.Load(path)
		if err != nil {
			return err
		}
		results, err := experiment.Run(description)
		if err != nil {
			return err
		}
		write := experiment.WriteText
		if output == "json" {
			write = experiment.WriteJSON
		}
		if err := write(os.Stdout, results); err != nil {
			return err
		}
	}
	return nil
}
