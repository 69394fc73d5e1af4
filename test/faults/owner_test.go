package faults

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/internal/settings"
	"peridotwinch.example/peridotwinch/internal/testcluster"
)

// Load while a router is killed.
const (
	ownerCallerCount  = 12
	requestsPerCaller = 10
)

// TestOwnerCrashUnderLoadLosesNoRequest guards against lost and duplicate requests
// after the crash of a reservation owner. It kills each router of a failure domain
// in turn, and so also the owner that grants slots of the servers, while callers
// use the other routers. Every request must get a complete answer and run once.
func TestOwnerCrashUnderLoadLosesNoRequest(t *testing.T) {
	routers := []string{"router-1", "router-2", "router-3"}
	d := deploy(t, chatSpec(len(routers), 3, settings.Timeouts{HeartbeatMS: 200}, "-token-time", "2ms"))
	d.waitServing(routers...)
	before := d.totalExecutions()
	sent := 0
	for _, owner := range routers {
		others := slices.DeleteFunc(slices.Clone(routers), func(name string) bool { return name == owner })
		killed := make(chan error, 1)
		failures := d.askDuringFault(others, sent, func() { killed <- d.Daemons[owner].Kill() })
		sent += ownerCallerCount * requestsPerCaller
		d.Expect(<-killed).To(Succeed())
		d.Expect(failures).To(BeEmpty(), "after the kill of %s", owner)
		d.Expect(d.Daemons[owner].Start()).To(Succeed())
		d.Expect(d.Daemons[owner].WaitReady()).To(Succeed())
		d.waitServing(owner)
		before++
	}
	d.Expect(d.totalExecutions() - before).To(Equal(sent))
}

// askDuringFault sends all callers' requests through the routers, calls injectFault
// halfway through those of the first caller, and returns the failures.
func (d deployment) askDuringFault(routers []string, firstQuestion int, injectFault func()) []string {
	var group sync.WaitGroup
	var mu sync.Mutex
	var failures []string
	for i := range ownerCallerCount {
		group.Go(func() {
			caller := &testcluster.Caller{Token: callerToken}
			for j := range requestsPerCaller {
				if i == 0 && j == requestsPerCaller/2 {
					injectFault()
				}
				request := streamRequest(1000+firstQuestion+i*requestsPerCaller+j, 20)
				err := caller.AskVerified(context.Background(), d.callersAddress(routers[(i+j)%len(routers)]), request, nil)
				if err != nil {
					mu.Lock()
					failures = append(failures, fmt.Sprintf("request %d of caller %d: %v", j, i, err))
					mu.Unlock()
				}
			}
		})
	}
	group.Wait()
	return failures
}

// totalExecutions returns the number of executions on all backend servers.
func (d deployment) totalExecutions() int {
	total := 0
	for name := range d.Backends {
		total += d.executionsAt(name)
	}
	return total
}
