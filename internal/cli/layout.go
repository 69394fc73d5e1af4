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
		synopsis: "Writes the settings of every instance of an inventory",
		usage:    "-out DIR INVENTORY",
		setFlags: func(f *flag.FlagSet) { f.StringVar(&out, "out", ".", "folder for the settings files") },
		run: func(_ context.Context, args []string) error {
			if len(args) != 1 {
				return usageError("name one inventory file")
			}
			inventory, err := layout.Load(args[0])
			if err != nil {
				return err
			}
			all, err := inventory.Settings()
			if err != nil {
				return err
			}
			paths, err := layout.Write(out, all)
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
