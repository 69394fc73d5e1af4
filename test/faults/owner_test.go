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

// Size of the load while an owner is killed.
const (
	ownerCallers  = 12
	ownerRequests = 10
)

// TestOwnersDieUnderLoad kills each router of a failure domain in turn, so also
// the one that grants the places on the servers, while callers ask the others.
// Every request is answered whole and runs once.
func TestOwnersDieUnderLoad(t *testing.T) {
	routers := []string{"router-1", "router-2", "router-3"}
	d := deploy(t, chatSpec(len(routers), 3, settings.Timeouts{HeartbeatMS: 200}, "-token-time", "2ms"))
	d.firstAnswer(routers...)
	before := d.allExecutions()
	sent := 0
	for _, owner := range routers {
		others := slices.DeleteFunc(slices.Clone(routers), func(name string) bool { return name == owner })
		killed := make(chan error, 1)
		failures := d.askAll(others, sent, func() { killed <- d.Daemons[owner].Kill() })
		sent += ownerCallers * ownerRequests
		d.Expect(<-killed).To(Succeed())
		d.Expect(failures).To(BeEmpty(), "%s was killed", owner)
		d.Expect(d.Daemons[owner].Start()).To(Succeed())
		d.Expect(d.Daemons[owner].WaitReady()).To(Succeed())
		d.firstAnswer(owner)
		before++
	}
	d.Expect(d.allExecutions() - before).To(Equal(sent))
}

// askAll lets the callers ask the routers, and does something amid their requests.
func (d deployed) askAll(routers []string, first int, amid func()) []string {
	var group sync.WaitGroup
	var mu sync.Mutex
	var failures []string
	for i := range ownerCallers {
		group.Go(func() {
			caller := &testcluster.Caller{Token: callerToken}
			for j := range ownerRequests {
				if i == 0 && j == ownerRequests/2 {
					amid()
				}
				request := streamRequest(1000+first+i*ownerRequests+j, 20)
				err := caller.AskVerified(context.Background(), d.callers(routers[(i+j)%len(routers)]), request, nil)
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

func (d deployed) allExecutions() int {
	total := 0
	for name := range d.Backends {
		total += d.executionsAt(name)
	}
	return total
}
