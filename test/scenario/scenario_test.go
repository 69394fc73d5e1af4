// Package scenario runs the scripts of this folder against real processes.
package scenario

import (
	"encoding/json"
	"os"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"peridotwinch.example/peridotwinch/internal/cli"
	"peridotwinch.example/peridotwinch/internal/testcluster"
)

func TestMain(m *testing.M) {
	if os.Getenv("PERIDOTWINCH_TESTBED_EXEC") != "" {
		testcluster.Main(m)
	}
	testscript.Main(m, map[string]func(){"peridotwinch": func() { os.Exit(cli.Main(os.Args[1:], nil)) }})
}

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 ".",
		RequireExplicitExec: true,
		RequireUniqueNames:  true,
		Cmds:                commands,
	})
}

// deploy prepares and starts the deployment of a JSON file.
func deploy(ts *testscript.TestScript, neg bool, args []string) {
	refuseNegation(ts, neg)
	spec := testcluster.Spec{}
	ts.Check(json.Unmarshal([]byte(ts.ReadFile(args[0])), &spec))
	bed, err := testcluster.New(ts.Getenv("WORK"), spec)
	ts.Check(err)
	ts.Defer(bed.Close)
	beds.Store(ts.Getenv("WORK"), bed)
	ts.Check(bed.Start())
	for instance, d := range bed.Daemons {
		name := strings.ReplaceAll(instance, "-", "_")
		ts.Setenv("CALLERS_"+name, d.Settings.Listen.Callers)
		ts.Setenv("OPERATORS_"+name, d.Settings.Listen.Operators)
		ts.Setenv("PLATFORM_"+name, d.Settings.Listen.Platform)
	}
}

func refuseNegation(ts *testscript.TestScript, neg bool) {
	if neg {
		ts.Fatalf("the command cannot be negated")
	}
}
