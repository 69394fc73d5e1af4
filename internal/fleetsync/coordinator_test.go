package fleetsync_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"peridotwinch.example/peridotwinch/internal/fleetview"
)

// coordinatedRouter is a router that can coordinate slots, and its knowledge of the coordinator.
type coordinatedRouter struct {
	address string
	view    *fleetview.View
	stop    func()
	mu      sync.Mutex
	latest  string
}

func (r *coordinatedRouter) coordinator() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.latest
}

func startCoordinatedRouter(t *testing.T, i int, seeds ...string) *coordinatedRouter {
	r := &coordinatedRouter{address: fmt.Sprintf("10.0.0.%d:7180", i)}
	view := fleetview.New(fleetview.Config{
		Instance: fmt.Sprint("router-", i), FailureDomain: "domain-a", Seeds: seeds, Decode: decodeTestTable,
		Fleet: &serverCounter{}, Losses: newTestLosses(), SlotAddress: r.address,
		OnSlotCoordinator: func(address string) {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.latest = address
		},
	}, zerolog.Nop())
	r.view = view
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = view.Run(ctx) })
	running.Go(func() { _ = view.ReportLoads(ctx) })
	r.stop = sync.OnceFunc(func() {
		cancel()
		running.Wait()
	})
	t.Cleanup(r.stop)
	return r
}

// TestRoutersLearnOneCoordinator guards against routers that ask different coordinators for good,
// and against one that stays named after it has ended.
func TestRoutersLearnOneCoordinator(t *testing.T) {
	g := NewWithT(t)
	addresses := []string{reserveAddress(t), reserveAddress(t)}
	for _, address := range addresses {
		replica := newFakeReplica(addresses...)
		replica.table = newTable(t, 1)
		serve(t, newTestService(t, replica, address), address)
	}
	var routers []*coordinatedRouter
	for i := range 6 {
		routers = append(routers, startCoordinatedRouter(t, i, addresses...))
	}
	// agreed returns the coordinator if all running routers know the same one, which runs.
	running := routers
	agreed := func() string {
		name, runs := running[0].coordinator(), false
		for _, r := range running {
			runs = runs || r.address == name
			if r.coordinator() != name {
				return ""
			}
		}
		if !runs {
			return ""
		}
		return name
	}
	g.Eventually(agreed, "20s", "20ms").ShouldNot(BeEmpty())
	time.Sleep(time.Second)
	first := agreed()
	g.Consistently(agreed, "4s", "100ms").Should(Equal(first), "while it reports")
	running = nil
	for _, r := range routers {
		if r.address == first {
			r.stop()
			continue
		}
		running = append(running, r)
	}
	g.Eventually(agreed, "20s", "20ms").ShouldNot(BeEmpty())
	second := agreed()
	for _, r := range running {
		if r.address == second {
			r.view.WithdrawCoordinator()
		}
	}
	g.Eventually(agreed, "20s", "20ms").ShouldNot(Or(BeEmpty(), Equal(second)), "it shuts down")
}
