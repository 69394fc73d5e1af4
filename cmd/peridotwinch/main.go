// Command peridotwinch is the daemon of the router fleet and the client of its operators.
package main

import (
	"os"

	"peridotwinch.example/peridotwinch/internal/adapter"
	"peridotwinch.example/peridotwinch/internal/cli"
	"peridotwinch.example/peridotwinch/platform"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], adapter.Set{platform.Name: platform.New()}))
}
