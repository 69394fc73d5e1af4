package platform

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/internal/settings"
)

// TestRestartedWorkerIsSparedByAllRouters guards against wiring by which routers do not learn that a worker
// warms up, from the table, the settings, the heartbeats or the numbering: with 6 routers, a worker that
// has restarted gets at most 4 requests in a second, and all others after its warm-up.
func TestRestartedWorkerIsSparedByAllRouters(t *testing.T) {
	const total, warmupTime, sampleInterval = 4, 2 * time.Second, 10 * time.Millisecond
	f := newFleet(t, 6)
	for _, m := range f.routers {
		m.settings.Warmup = settings.Warmup{Overage: 1.5, Slack: 1}
		f.prepare(m)
	}
	f.start()
	w := f.startWorker("i-1")
	f.startWorker("i-2")
	f.configure(strings.Replace(f.config(7, 1000), `"Name":"app",`, `"Name":"app","ColdPerS":2,"ColdStartS":2,`, 1))
	for _, m := range f.routers {
		f.awaitServing(m, "/look/x")
	}
	// In the first 10 s of a router, a server that it learns of does not count as started just now.
	time.Sleep(11 * time.Second)
	stop := make(chan struct{})
	var wait sync.WaitGroup
	for _, m := range f.routers {
		for range 2 {
			wait.Go(func() {
				for {
					select {
					case <-stop:
						return
					case <-time.After(10 * time.Millisecond):
						_, _, _ = f.sendRequest(m, http.MethodPost, "/look/x")
					}
				}
			})
		}
	}
	time.Sleep(500 * time.Millisecond)
	w.end()
	f.Eventually(w.isDown, 5*time.Second, sampleInterval).Should(BeFalse())
	// With the heartbeat that lists it, the worker begins to warm up.
	var counts []int
	most := func(from, to time.Duration) (most int) {
		const second = int(time.Second / sampleInterval)
		for i := int(from / sampleInterval); i+second < min(len(counts), int(to/sampleInterval)); i++ {
			most = max(most, counts[i+second]-counts[i])
		}
		return most
	}
	before := len(w.received())
	for start := time.Now(); time.Since(start) < warmupTime+3*time.Second; {
		// Each entry stands for sampleInterval, also if this process was late.
		for len(counts) <= int(time.Since(start)/sampleInterval) {
			counts = append(counts, len(w.received())-before)
		}
		time.Sleep(sampleInterval)
	}
	close(stop)
	wait.Wait()
	f.Expect(most(0, warmupTime)).To(BeNumerically("<=", total))
	f.Expect(most(0, warmupTime)).To(BeNumerically(">", 0), "the share is used")
	f.Expect(most(warmupTime, time.Hour)).To(BeNumerically(">", 5*total), "after the warm-up")
	t.Logf("at most %d requests in a second during the warm-up, %d after it", most(0, warmupTime), most(warmupTime, time.Hour))
	f.Expect(f.readLog(f.routers[0])).To(ContainSubstring("backend server is warming up"))
}
