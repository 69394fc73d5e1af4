// Command peridotwinch is the router fleet's daemon and its operators' client.
package main

import (
	"os"

	"peridotwinch.example/peridotwinch/internal/cli"
)

func main() { os.Exit(cli.Main(os.Args[1:])) }
