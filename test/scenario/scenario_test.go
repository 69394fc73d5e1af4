// Package scenario runs the testscript files of this folder against real processes.
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

// TestScenarios runs each script in this folder as a subtest.
func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 ".",
		RequireExplicitExec: true,
		RequireUniqueNames:  true,
		Cmds:                commands,
	})
}

// deploy starts the deployment that a JSON file describes, and sets the
// environment variables CALLERS_, OPERATORS_ and PLATFORM_ followed by an instance
// name to the addresses of each daemon.
func deploy(ts *testscript.TestScript, neg bool, args []string) {
	rejectNegation(ts, neg)
	spec := testcluster.Spec{}
	ts.Check(json.Unmarshal([]byte(ts.ReadFile(args[0])), &spec))
	cluster, err := testcluster.New(ts.Getenv("WORK"), spec)
	ts.Check(err)
	ts.Defer(cluster.Close)
	clusters.Store(ts.Getenv("WORK"), cluster)
	ts.Check(cluster.Start())
	for instance, d := range cluster.Daemons {
		name := strings.ReplaceAll(instance, "-", "_")
		ts.Setenv("CALLERS_"+name, d.Settings.Listen.Callers)
		ts.Setenv("OPERATORS_"+name, d.Settings.Listen.Operators)
		ts.Setenv("PLATFORM_"+name, d.Settings.Listen.Platform)
	}
}

// rejectNegation fails the script if a command is negated.
func rejectNegation(ts *testscript.TestScript, neg bool) {
	if neg {
		ts.Fatalf("this command cannot be negated with !")
	}
}
