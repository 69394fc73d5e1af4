package measure

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"peridotwinch.example/peridotwinch/internal/load"
)

// One failure domain at the target size: 4,000 backend servers and 357 routers
// over 24 failure domains, 4,700 customers in all.
const (
	aimServers   = 167
	aimRouters   = 15
	aimCustomers = 4700
	// applySideBySide is how many customers are applied at once.
	applySideBySide = 8
)

// TestAimDomain measures what control costs each router of a failure domain at
// the target size, at rest and beside requests.
func TestAimDomain(t *testing.T) {
	needMeasure(t)
	s := slopeSystem(t, aimRouters)
	s.fleet(t, aimServers, modelServer(64))
	started := time.Now()
	s.applyCustomers(aimCustomers)
	fmt.Printf("%d customers applied in %.1f s\n", aimCustomers, time.Since(started).Seconds())
	time.Sleep(settle)
	s.printAim("at rest", rest)
	mix := slopeMix(45*aimRouters, load.Shape{Name: "one token", PromptTokens: 100, AnswerTokens: 1})
	s.printAim("at 45 requests/s a router", func() { s.load(mix) })
}

// printAim prints the cost of control, of the first router and the highest of all.
func (s *system) printAim(title string, work func()) {
	control := s.counters("control")
	var before []*load.Counters
	for _, router := range s.Routers() {
		before = append(before, s.counters(router.Name))
	}
	work()
	fmt.Printf("%s: %s\n", title, cost(s.counters("control").Since(control, "control")))
	highest := load.DaemonReport{Name: "highest of the routers"}
	for i, router := range s.Routers() {
		r := s.counters(router.Name).Since(before[i], router.Name)
		if i == 0 {
			fmt.Printf("%s: %s, by purpose %v\n", title, cost(r), r.ControlBytesPerSecond)
		}
		highest.Seconds = r.Seconds
		highest.CPUSeconds = max(highest.CPUSeconds, r.CPUSeconds)
		highest.ResidentBytes = max(highest.ResidentBytes, r.ResidentBytes)
		highest.HeapBytes = max(highest.HeapBytes, r.HeapBytes)
		highest.ControlTotal = max(highest.ControlTotal, r.ControlTotal)
	}
	fmt.Printf("%s: %s\n", title, cost(highest))
}

func cost(r load.DaemonReport) string {
	return fmt.Sprintf("%s: %.2f%% of a core, %.1f MB (heap %.1f MB), %.0f control B/s",
		r.Name, 100*perSecond(r), megabytes(r), float64(r.HeapBytes)/1e6, r.ControlTotal)
}

func (s *system) applyCustomers(count int) {
	var wait sync.WaitGroup
	for worker := range applySideBySide {
		wait.Go(func() {
			for i := worker; i < count; i += applySideBySide {
				s.apply(customerResource(load.Customer{Name: fmt.Sprintf("c%d", i), Token: fmt.Sprintf("token-%d", i)}))
			}
		})
	}
	wait.Wait()
}
