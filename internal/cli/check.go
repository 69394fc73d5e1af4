package cli

import (
	"context"
	"flag"
	"fmt"

	"peridotwinch.example/peridotwinch/internal/adapter"
	"peridotwinch.example/peridotwinch/internal/settings"
)

func checkCommand(adapters adapter.Set) *command {
	check := tableCheck{adapters: adapters}
	return &command{
		name:     "check",
		group:    groupDaemon,
		synopsis: "Validates settings files, or a route table before it is sent, and prints each invalid field",
		usage:    "FILE... | -table FILE [-adapter NAME] [-against FILE | -control ADDRESS[,ADDRESS]] [-o json]",
		setFlags: func(f *flag.FlagSet) {
			f.StringVar(&check.path, "table", "", "route table to check")
			f.StringVar(&check.adapterName, "adapter", "", "adapter whose format the route table has; may be omitted if there is only one")
			f.StringVar(&check.against, "against", "", "route table with which to compare")
			f.StringVar(&check.control, "control", "", "addresses of control instances, separated by commas, with whose table in force to compare")
			f.StringVar(&check.output, "o", outputText, "output format of the check of a route table: text or json")
		},
		run: func(ctx context.Context, args []string) error {
			if check.path != "" {
				return check.run(ctx, args)
			}
			return check.checkSettings(args)
		},
	}
}

func (c *tableCheck) checkSettings(paths []string) error {
	if c.adapterName != "" || c.against != "" || c.control != "" || c.output != outputText {
		return usageError("-adapter, -against, -control and -o require -table")
	}
	if len(paths) == 0 {
		return usageError("at least one settings file is required")
	}
	for _, path := range paths {
		if _, err := settings.Load(path); err != nil {
			return err
		}
		fmt.Printf("%s: ok\n", path)
	}
	return nil
}
