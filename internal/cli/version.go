package cli

import (
	"context"
	"fmt"
	"runtime/debug"
)

// Version is the version under development in this source tree.
const Version = "0.1.0-dev"

func versionCommand() *command {
	return &command{
		name:     "version",
		group:    groupDaemon,
		synopsis: "Prints the version",
		run: func(context.Context, []string) error {
			info, ok := debug.ReadBuildInfo()
			if !ok {
				_, err := fmt.Println(Version)
				return err
			}
			_, err := fmt.Printf("%s %s\n", Version, info.GoVersion)
			return err
		},
	}
}
