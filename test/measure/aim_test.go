package measure

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"peridotwinch.example/peridotwinch/internal/load"
)

// One failure domain at the target size. The target is 4,000 backend servers and 357
// routers in 24 failure domains, with 4,700 customers in total.
const (
	targetServers   = 167
	targetRouters   = 15
	targetCustomers = 4700
	// applyConcurrency is the number of customers that are applied concurrently.
	applyConcurrency = 8
)

// TestAimDomain measures the cost of control for each router of a failure domain at
// the target size, idle and under requests.
func TestAimDomain(t *testing.T) {
	skipUnlessMeasuring(t)
	s := startSlopeSystem(t, targetRouters)
	s.startBackends(t, targetServers, modelServer(64))
	started := time.Now()
	s.applyCustomers(targetCustomers)
	fmt.Printf("%d customers applied in %.1f s\n", targetCustomers, time.Since(started).Seconds())
	time.Sleep(settleTime)
	s.printControlCost("at rest", waitIdle)
	mix := slopeMix(45*targetRouters, load.Shape{Name: "one token", PromptTokens: 100, AnswerTokens: 1})
	s.printControlCost("at 45 requests/s a router", func() { s.load(mix) })
}

// printControlCost runs work and prints the cost of the control instance and of the
// first router during it, and the highest of each cost among all routers.
func (s *system) printControlCost(title string, work func()) {
	control := s.counters("control")
	var before []*load.Counters
	for _, router := range s.Routers() {
		before = append(before, s.counters(router.Name))
	}
	work()
	fmt.Printf("%s: %s\n", title, formatCost(s.counters("control").Since(control, "control")))
	highest := load.DaemonReport{Name: "highest of the routers"}
	for i, router := range s.Routers() {
		r := s.counters(router.Name).Since(before[i], router.Name)
		if i == 0 {
			fmt.Printf("%s: %s, by purpose %v\n", title, formatCost(r), r.ControlBytesPerSecond)
		}
		highest.Seconds = r.Seconds
		highest.CPUSeconds = max(highest.CPUSeconds, r.CPUSeconds)
		highest.ResidentBytes = max(highest.ResidentBytes, r.ResidentBytes)
		highest.HeapBytes = max(highest.HeapBytes, r.HeapBytes)
		highest.ControlTotal = max(highest.ControlTotal, r.ControlTotal)
	}
	fmt.Printf("%s: %s\n", title, formatCost(highest))
}

func formatCost(r load.DaemonReport) string {
	return fmt.Sprintf("%s: %.2f%% of a core, %.1f MB (heap %.1f MB), %.0f control B/s",
		r.Name, 100*coresUsed(r), megabytes(r), float64(r.HeapBytes)/1e6, r.ControlTotal)
}

// applyCustomers applies this many new customers.
func (s *system) applyCustomers(count int) {
	var wait sync.WaitGroup
	for worker := range applyConcurrency {
		wait.Go(func() {
			for i := worker; i < count; i += applyConcurrency {
				s.apply(customerResource(load.Customer{Name: fmt.Sprintf("c%d", i), Token: fmt.Sprintf("token-%d", i)}))
			}
		})
	}
	wait.Wait()
}
