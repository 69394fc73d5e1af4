package scenario

import (
	"context"
	"fmt"
	"strconv"
	"sync"

	"github.com/rogpeppe/go-internal/testscript"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/testcluster"
)

// clusters maps the work folder of each running script to its *testcluster.Cluster.
var clusters sync.Map

// commands are the commands that scenario scripts have in addition to those of testscript.
var commands = map[string]func(ts *testscript.TestScript, neg bool, args []string){
	"deploy":   deploy,
	"ready":    ready,
	"start":    processCommand((*testcluster.Process).Start),
	"shutdown": shutdown,
	"sigkill":  processCommand((*testcluster.Process).Kill),
	"freeze":   processCommand((*testcluster.Process).Suspend),
	"thaw":     processCommand((*testcluster.Process).Resume),
	"ask":      ask,
}

// clusterOf returns the cluster of a script, and fails the script if there is none.
func clusterOf(ts *testscript.TestScript) *testcluster.Cluster {
	cluster, ok := clusters.Load(ts.Getenv("WORK"))
	if !ok {
		ts.Fatalf("no deployment is running: the script has not called deploy")
	}
	return cluster.(*testcluster.Cluster)
}

// processOf returns the process of a daemon or backend server by name, and fails
// the script if there is none.
func processOf(ts *testscript.TestScript, name string) *testcluster.Process {
	cluster := clusterOf(ts)
	if d := cluster.Daemons[name]; d != nil {
		return d.Process
	}
	if backend := cluster.Backends[name]; backend != nil {
		return backend.Process
	}
	ts.Fatalf("the deployment has no process %q", name)
	return nil
}

// processCommand returns a command that applies a function to the named processes.
func processCommand(apply func(*testcluster.Process) error) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		rejectNegation(ts, neg)
		for _, name := range args {
			ts.Check(apply(processOf(ts, name)))
		}
	}
}

// shutdown stops the named processes concurrently; each must exit with code 0.
func shutdown(ts *testscript.TestScript, neg bool, args []string) {
	rejectNegation(ts, neg)
	stopped := make(chan error, len(args))
	for _, name := range args {
		p := processOf(ts, name)
		go func() { stopped <- p.Stop() }()
	}
	for range args {
		ts.Check(<-stopped)
	}
}

// ready waits until the named daemons are ready.
func ready(ts *testscript.TestScript, neg bool, args []string) {
	rejectNegation(ts, neg)
	for _, name := range args {
		ts.Check(clusterOf(ts).Daemons[name].WaitReady())
	}
}

// ask sends COUNT chats for MODEL with TOKEN to the named routers in turn, half
// of them streamed, and checks that every answer is complete: ask COUNT MODEL TOKEN ROUTER...
func ask(ts *testscript.TestScript, neg bool, args []string) {
	rejectNegation(ts, neg)
	count, err := strconv.Atoi(args[0])
	ts.Check(err)
	caller := &testcluster.Caller{Token: args[2]}
	routers := args[3:]
	// A new router has its backend servers only after their next announcement.
	ts.Check(testcluster.Eventually(func() error { return sendChats(caller, clusterOf(ts), args[1], routers, len(routers)) }))
	ts.Check(sendChats(caller, clusterOf(ts), args[1], routers, count))
}

// sendChats sends chats concurrently and returns the first error.
func sendChats(caller *testcluster.Caller, cluster *testcluster.Cluster, model string, routers []string, count int) error {
	errs := make(chan error, count)
	for i := range count {
		go func() {
			router := cluster.Daemons[routers[i%len(routers)]].Settings.Listen.Callers
			errs <- caller.AskVerified(context.Background(), router, chatRequest(model, i), nil)
		}()
	}
	for range count {
		if err := <-errs; err != nil {
			return err
		}
	}
	return nil
}

func chatRequest(model string, i int) *api.ChatRequest {
	return &api.ChatRequest{
		Model:    model,
		Stream:   i%2 == 0,
		Messages: []api.ChatMessage{{Role: "user", Content: fmt.Sprintf("question %d", i)}},
	}
}
