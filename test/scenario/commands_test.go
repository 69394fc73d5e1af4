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

// beds holds the deployment of each running script by its work folder.
var beds sync.Map

// commands are the scenario language's own commands.
var commands = map[string]func(ts *testscript.TestScript, neg bool, args []string){
	"deploy":   deploy,
	"ready":    ready,
	"start":    onProcess((*testcluster.Process).Start),
	"shutdown": shutdown,
	"sigkill":  onProcess((*testcluster.Process).Kill),
	"freeze":   onProcess((*testcluster.Process).Freeze),
	"thaw":     onProcess((*testcluster.Process).Thaw),
	"ask":      ask,
}

func bedOf(ts *testscript.TestScript) *testcluster.Cluster {
	bed, ok := beds.Load(ts.Getenv("WORK"))
	if !ok {
		ts.Fatalf("no deployment yet")
	}
	return bed.(*testcluster.Cluster)
}

func process(ts *testscript.TestScript, name string) *testcluster.Process {
	bed := bedOf(ts)
	if d := bed.Daemons[name]; d != nil {
		return d.Process
	}
	if backend := bed.Backends[name]; backend != nil {
		return backend.Process
	}
	ts.Fatalf("no process %q", name)
	return nil
}

func onProcess(act func(*testcluster.Process) error) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		refuseNegation(ts, neg)
		for _, name := range args {
			ts.Check(act(process(ts, name)))
		}
	}
}

// shutdown stops the named processes side by side, each with exit code 0.
func shutdown(ts *testscript.TestScript, neg bool, args []string) {
	refuseNegation(ts, neg)
	ended := make(chan error, len(args))
	for _, name := range args {
		stopped := process(ts, name)
		go func() { ended <- stopped.Stop() }()
	}
	for range args {
		ts.Check(<-ended)
	}
}

// ready waits until the named daemons are ready.
func ready(ts *testscript.TestScript, neg bool, args []string) {
	refuseNegation(ts, neg)
	for _, name := range args {
		ts.Check(bedOf(ts).Daemons[name].WaitReady())
	}
}

// ask sends COUNT chats for MODEL with TOKEN to the named routers in turn, half
// of them streamed, and checks that every answer is whole.
func ask(ts *testscript.TestScript, neg bool, args []string) {
	refuseNegation(ts, neg)
	count, err := strconv.Atoi(args[0])
	ts.Check(err)
	caller := &testcluster.Caller{Token: args[2]}
	routers := args[3:]
	// A new router learns its backend servers within an announcement.
	ts.Check(testcluster.Eventually(func() error { return askAll(caller, bedOf(ts), args[1], routers, len(routers)) }))
	ts.Check(askAll(caller, bedOf(ts), args[1], routers, count))
}

func askAll(caller *testcluster.Caller, bed *testcluster.Cluster, model string, routers []string, count int) error {
	errs := make(chan error, count)
	for i := range count {
		go func() {
			router := bed.Daemons[routers[i%len(routers)]].Settings.Listen.Callers
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
