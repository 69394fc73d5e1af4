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

// Setting of the measurement of stalls.
const (
	stallCallers = 16
	stallWarmUp  = 500 * time.Millisecond
	stallFault   = 3 * time.Second
)

// BenchmarkStall reports the longest time without any grant, and the longest
// claim, while the nearest of three replicas is killed or frozen under load.
// The two others are behind links of 5 ms each way.
func BenchmarkStall(b *testing.B) {
	faults := []struct {
		name string
		act  func(*testcluster.Process) error
	}{
		{"killed", (*testcluster.Process).Kill},
		{"frozen", (*testcluster.Process).Freeze},
	}
	for _, fault := range faults {
		b.Run(fault.name, func(b *testing.B) {
			bed := benchBed(b, b.TempDir(), "pwani-a", "pwani-b", "pwani-c")
			c := quorum.New(quorum.Members{Domain: "pwani-a", Fleet: addresses(bed, delayed(b))})
			gaps := &gapRecorder{}
			stop := make(chan struct{})
			var group sync.WaitGroup
			for range stallCallers {
				group.Go(func() { gaps.claimUntil(b, c, stop) })
			}
			time.Sleep(stallWarmUp)
			if err := fault.act(bed.Daemons["ledger-1"].Process); err != nil {
				b.Fatal(err)
			}
			gaps.start()
			time.Sleep(stallFault)
			close(stop)
			group.Wait()
			b.ReportMetric(0, "ns/op")
			b.ReportMetric(gaps.gap.Seconds()*1000, "longest-gap-ms")
			b.ReportMetric(gaps.slowest.Seconds()*1000, "slowest-claim-ms")
			b.ReportMetric(float64(gaps.grants), "grants")
		})
	}
}

// gapRecorder takes the times of grants after a fault.
type gapRecorder struct {
	next atomic.Int64

	mu      sync.Mutex
	started bool
	last    time.Time
	gap     time.Duration
	slowest time.Duration
	grants  int
}

func (g *gapRecorder) start() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.started, g.last = true, time.Now()
}

func (g *gapRecorder) granted(took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.started {
		return
	}
	now := time.Now()
	g.gap = max(g.gap, now.Sub(g.last))
	g.last = now
	g.slowest = max(g.slowest, took)
	g.grants++
}

func (g *gapRecorder) claimUntil(b *testing.B, c ledger.Claimer, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		started := time.Now()
		key := customerKey(fmt.Sprintf("stall-%d", g.next.Add(1)))
		decision := c.Claim(context.Background(), key, ledger.NewAttemptID(), ledger.Digest{1})
		if decision.Verdict != ledger.VerdictGranted {
			b.Errorf("verdict %d", decision.Verdict)
		}
		g.granted(time.Since(started))
	}
}
