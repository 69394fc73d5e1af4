package gateway

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/internal/fleetsync"
	"peridotwinch.example/peridotwinch/internal/placement"
	"peridotwinch.example/peridotwinch/internal/registry"
	"peridotwinch.example/peridotwinch/internal/routetable"
)

// TestPlacementUsesMeanOfPoolLoads guards against a router that receives the sum of a pool's loads and
// still takes the mean of the loads that it knows, which are the highest.
func TestPlacementUsesMeanOfPoolLoads(t *testing.T) {
	g := NewWithT(t)
	p := newPools(newGatewayMetrics())
	var entries []registry.Entry
	loads := make(map[uint64]fleetsync.ServerLoad)
	for i := range 4 {
		e := registry.Entry{Server: registry.Server{ID: fmt.Sprint("i-", i), StartedMS: 1, Pool: "engines", Address: fmt.Sprintf("10.0.0.%d:80", i), Slots: 64, State: registry.StateReady}}
		entries = append(entries, e)
		loads[e.Hash()] = fleetsync.ServerLoad{Requests: 9, ReportedAt: time.Now()}
	}
	loads[entries[3].Hash()] = fleetsync.ServerLoad{Requests: 1, ReportedAt: time.Now()}
	p.setServers(entries)
	engines := p.get("engines", &routetable.Pool{Engine: true})
	elsewhere := func() (count int) {
		for key := range uint64(50) {
			// New reports replace the router's count of its own sends since the last ones.
			for hash, load := range loads {
				load.ReportedAt = time.Now()
				loads[hash] = load
			}
			engines.recordPeerLoads(loads)
			request := placement.Request{Parts: []placement.PromptPart{{ID: key + 100, Tokens: 1000}}}
			l, err := engines.acquire(context.Background(), request, 0, 0)
			g.Expect(err).NotTo(HaveOccurred())
			if l.id != "i-3" {
				count++
			}
			l.release(placement.Result{Kind: placement.ResultAnswered})
		}
		return count
	}
	g.Expect(elsewhere()).To(BeNumerically(">", 10), "the mean of the known loads is 7")
	p.recordPoolLoads(map[string]fleetsync.PoolLoad{"engines": {Servers: 1000, Requests: 4000, ComputedAt: time.Now()}, "none": {}})
	g.Expect(elsewhere()).To(BeZero(), "the mean of the pool is 4")
}
