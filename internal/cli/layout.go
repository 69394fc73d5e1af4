package cli

import (
	"context"
	"flag"
	"fmt"

	"peridotwinch.example/peridotwinch/internal/layout"
)

func layoutCommand() *command {
	var out string
	return &command{
		name:     "layout",
		group:    groupDaemon,
		synopsis: "Writes a settings file for each instance of an inventory",
		usage:    "-out DIR INVENTORY",
		setFlags: func(f *flag.FlagSet) { f.StringVar(&out, "out", ".", "folder for the settings files") },
		run: func(_ context.Context, args []string) error {
			if len(args) != 1 {
				return usageError("exactly one inventory file is required")
			}
			inventory, err := layout.Load(args[0])
			if err != nil {
				return err
			}
			allSettings, err := inventory.Settings()
			if err != nil {
				return err
			}
			paths, err := layout.Write(out, allSettings)
			if err != nil {
				return err
			}
			for _, path := range paths {
				fmt.Println(path)
			}
			return nil
		},
	}
}
