package cli

import (
	"context"
	"fmt"

	"peridotwinch.example/peridotwinch/internal/settings"
)

func checkCommand() *command {
	return &command{
		name:     "check",
		group:    groupDaemon,
		synopsis: "Validates settings files and prints each invalid field",
		usage:    "FILE...",
		run: func(_ context.Context, args []string) error {
			if len(args) == 0 {
				return usageError("at least one settings file is required")
			}
			for _, path := range args {
				if _, err := settings.Load(path); err != nil {
					return err
				}
				fmt.Printf("%s: ok\n", path)
			}
			return nil
		},
	}
}
