package claims

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"peridotwinch.example/peridotwinch/internal/ledger"
	"peridotwinch.example/peridotwinch/internal/ledger/quorum"
	"peridotwinch.example/peridotwinch/internal/testcluster"
)

const (
	stallCallers = 16
	stallWarmUp  = 500 * time.Millisecond
	// stallObservation is how long grants are recorded after the fault.
	stallObservation = 3 * time.Second
)

// BenchmarkStall reports the longest time without a grant and the slowest claim
// after the nearest of three replicas is killed or suspended under load. The two others
// are behind links with a one-way delay of 5 ms.
func BenchmarkStall(b *testing.B) {
	faults := []struct {
		name   string
		inject func(*testcluster.Process) error
	}{
		{"killed", (*testcluster.Process).Kill},
		{"frozen", (*testcluster.Process).Suspend},
	}
	for _, fault := range faults {
		b.Run(fault.name, func(b *testing.B) {
			cluster := startBenchCluster(b, b.TempDir(), "pwani-a", "pwani-b", "pwani-c")
			c := quorum.New(quorum.Members{Domain: "pwani-a", Fleet: replicaMembers(cluster, delayedRelay(b))})
			gaps := &gapRecorder{}
			stop := make(chan struct{})
			var group sync.WaitGroup
			for range stallCallers {
				group.Go(func() { gaps.claimUntil(b, c, stop) })
			}
			time.Sleep(stallWarmUp)
			if err := fault.inject(cluster.Daemons["ledger-1"].Process); err != nil {
				b.Fatal(err)
			}
			gaps.startRecording()
			time.Sleep(stallObservation)
			close(stop)
			group.Wait()
			b.ReportMetric(0, "ns/op")
			b.ReportMetric(gaps.longestGap.Seconds()*1000, "longest-gap-ms")
			b.ReportMetric(gaps.slowestClaim.Seconds()*1000, "slowest-claim-ms")
			b.ReportMetric(float64(gaps.grants), "grants")
		})
	}
}

// gapRecorder records the gaps between grants and the claim latencies after a fault.
type gapRecorder struct {
	lastKey atomic.Int64

	mu           sync.Mutex
	started      bool
	lastGrant    time.Time
	longestGap   time.Duration
	slowestClaim time.Duration
	grants       int
}

// startRecording starts the recording; earlier grants are ignored.
func (g *gapRecorder) startRecording() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.started, g.lastGrant = true, time.Now()
}

func (g *gapRecorder) recordGrant(latency time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.started {
		return
	}
	now := time.Now()
	g.longestGap = max(g.longestGap, now.Sub(g.lastGrant))
	g.lastGrant = now
	g.slowestClaim = max(g.slowestClaim, latency)
	g.grants++
}

// claimUntil claims new keys until stop is closed.
func (g *gapRecorder) claimUntil(b *testing.B, c ledger.Claimer, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		started := time.Now()
		key := customerKey(fmt.Sprintf("stall-%d", g.lastKey.Add(1)))
		decision := c.Claim(context.Background(), key, ledger.NewAttemptID(), ledger.Digest{1})
		if decision.Verdict != ledger.VerdictGranted {
			b.Errorf("claim returned verdict %d, want VerdictGranted", decision.Verdict)
		}
		g.recordGrant(time.Since(started))
	}
}
