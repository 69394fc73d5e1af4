package measure

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/oklog/run"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/fakebackend"
	"peridotwinch.example/peridotwinch/internal/load"
	"peridotwinch.example/peridotwinch/internal/settings"
	"peridotwinch.example/peridotwinch/internal/testcluster"
)

const (
	// settleTime is the wait for a change to reach all processes; observeTime is the
	// duration of a measurement at one size.
	settleTime  = 3 * time.Second
	observeTime = 8 * time.Second
)

// slope holds the costs of a system at several sizes.
type slope struct {
	name    string
	columns []string
	rows    [][]float64
}

// add records the costs at size x, in the order of the columns.
func (s *slope) add(x float64, costs ...float64) {
	s.rows = append(s.rows, append([]float64{x}, costs...))
}

// print prints the measured points and a fitted line for each column.
func (s *slope) print() {
	fmt.Printf("\n%s:", s.name)
	for _, column := range s.columns {
		fmt.Printf(" %s |", column)
	}
	fmt.Println()
	for _, row := range s.rows {
		fmt.Printf("  %10.5g\n", row)
	}
	for i, column := range s.columns {
		var points []load.Point
		for _, row := range s.rows {
			points = append(points, load.Point{X: row[0], Y: row[i+1]})
		}
		fmt.Printf("  %s = %v\n", column, load.FitLine(points))
	}
}

// slopeDomain is the failure domain whose costs a slope measures.
const slopeDomain = "a"

// startSlopeSystem starts one control and ledger daemon and this many routers in
// one failure domain.
func startSlopeSystem(t *testing.T, routers int) *system {
	return startSlopeSystemIn(t, slices.Repeat([]string{slopeDomain}, routers))
}

// startSlopeSystemIn starts one control and ledger daemon, and a router in the failure
// domain of each element of domains.
func startSlopeSystemIn(t *testing.T, domains []string) *system {
	g := NewWithT(t)
	spec := testcluster.Spec{Daemons: []testcluster.DaemonSpec{
		{Instance: "control", FailureDomain: slopeDomain, Roles: []settings.Role{settings.RoleControl, settings.RoleLedger}},
	}}
	for i, domain := range domains {
		spec.Daemons = append(spec.Daemons, testcluster.DaemonSpec{
			Instance: fmt.Sprintf("router-%02d", i), FailureDomain: domain, Roles: []settings.Role{settings.RoleRouter},
		})
	}
	cluster, err := testcluster.New(t.TempDir(), spec)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(cluster.Close)
	g.Expect(cluster.Start()).To(Succeed())
	s := &system{Cluster: cluster, g: g, targets: &load.Targets{}}
	s.findTargets(spec)
	d := deployment{short: "short", long: "long", servicePool: "calls"}
	for _, resource := range d.resources([]load.Customer{slopeCustomer}) {
		s.apply(resource)
	}
	for _, router := range s.Routers() {
		g.Expect(router.WaitReady()).To(Succeed())
	}
	return s
}

var slopeCustomer = load.Customer{Name: "slope", Token: "slope-token", Share: 1}

// startBackends runs this many fake backend servers in the test process and waits for
// settleTime, in which they announce themselves to the routers of slopeDomain.
func (s *system) startBackends(t *testing.T, count int, config fakebackend.Config) {
	ctx, cancel := context.WithCancel(context.Background())
	var group run.Group
	group.Add(func() error { <-ctx.Done(); return nil }, func(error) { cancel() })
	routers := s.routersInDomain(slopeDomain)
	for i := range count {
		config := config
		config.Listen, config.AnnounceEvery = "127.0.0.1:0", fakebackend.DefaultAnnounceEvery
		config.Announce = []string{routers[i%len(routers)].Settings.Listen.Backends}
		server, err := fakebackend.New(config, zerolog.Nop())
		s.g.Expect(err).NotTo(HaveOccurred())
		server.AddActors(&group)
	}
	var wait sync.WaitGroup
	wait.Go(func() { _ = group.Run() })
	t.Cleanup(func() {
		cancel()
		wait.Wait()
	})
	time.Sleep(settleTime)
}

// routersInDomain returns the routers of a failure domain.
func (s *system) routersInDomain(domain string) []*testcluster.Daemon {
	var out []*testcluster.Daemon
	for _, router := range s.Routers() {
		if router.Settings.FailureDomain == domain {
			out = append(out, router)
		}
	}
	return out
}

func modelServer(slots int) fakebackend.Config {
	return fakebackend.Config{Pool: "engine:models", Slots: slots, TokenTime: 20 * time.Millisecond, CacheTokens: 1 << 20}
}

func (s *system) counters(name string) *load.Counters {
	counters, err := load.ReadCounters(context.Background(), s.Daemons[name].Settings.Listen.Platform)
	s.g.Expect(err).NotTo(HaveOccurred())
	return counters
}

// measureDaemon returns the cost of a daemon while work runs.
func (s *system) measureDaemon(name string, work func()) load.DaemonReport {
	before := s.counters(name)
	work()
	return s.counters(name).Since(before, name)
}

// coresUsed returns the CPU seconds per second.
func coresUsed(r load.DaemonReport) float64 { return r.CPUSeconds / r.Seconds }

func megabytes(r load.DaemonReport) float64 { return float64(r.ResidentBytes) / 1e6 }

// waitIdle waits for observeTime without sending load.
func waitIdle() { time.Sleep(observeTime) }

// slopeMix returns a mix of requests of one shape at a fixed rate per second.
func slopeMix(rate float64, shape load.Shape) *load.Mix {
	shape.Class, shape.Share = api.ClassShort, 1
	if shape.Service == "" {
		shape.Model = "short"
	}
	return &load.Mix{
		Seed: *seed, DurationMS: int(observeTime.Milliseconds()), RatePerSecond: rate, HomeShare: 1,
		Chats: load.Chats{Turns: 1}, Shapes: []load.Shape{shape}, Customers: []load.Customer{slopeCustomer},
	}
}

// load runs the mix and returns its report; it prints how many requests failed.
func (s *system) load(mix *load.Mix) *load.Report {
	report, err := load.Run(context.Background(), mix, s.targets)
	s.g.Expect(err).NotTo(HaveOccurred())
	s.g.Expect(report.NotWhole).To(BeZero())
	if failed := failedRequests(report); failed > 0 {
		fmt.Printf("  (%d of %d requests were not answered: %v)\n", failed, report.Sent, report.Outcomes)
	}
	return report
}

// TestSlopeRequests measures the cost of a request with an answer of one token
// through a router.
func TestSlopeRequests(t *testing.T) {
	skipUnlessMeasuring(t)
	s := &slope{name: "requests/s through a router", columns: []string{"router cores", "router MB"}}
	for _, rate := range []float64{50, 100, 200, 400, 800} {
		system := startSlopeSystem(t, 1)
		system.startBackends(t, 16, modelServer(64))
		report := system.load(slopeMix(rate, load.Shape{Name: "one token", PromptTokens: 100, AnswerTokens: 1}))
		r := report.Routers[0]
		s.add(float64(report.Sent)/r.Seconds, coresUsed(r), megabytes(r))
		system.Close()
	}
	s.print()
}

// TestSlopeTokens measures the cost of a token streamed through a router, which
// writes and flushes each token separately.
func TestSlopeTokens(t *testing.T) {
	skipUnlessMeasuring(t)
	s := &slope{name: "tokens/s streamed through a router at 20 requests/s", columns: []string{"router cores", "router MB"}}
	for _, tokens := range []int{25, 50, 100, 200, 400} {
		system := startSlopeSystem(t, 1)
		system.startBackends(t, 16, modelServer(64))
		report := system.load(slopeMix(20, load.Shape{Name: "stream", PromptTokens: 100, AnswerTokens: tokens}))
		r := report.Routers[0]
		s.add(float64(report.Tokens)/r.Seconds, coresUsed(r), megabytes(r))
		system.Close()
	}
	s.print()
}

// TestSlopeServers measures the cost of membership for a router, by the number of
// backend servers that announce themselves to it and to one other router.
func TestSlopeServers(t *testing.T) {
	skipUnlessMeasuring(t)
	s := &slope{name: "servers of a failure domain, 2 routers, idle", columns: []string{"router cores", "control B/s", "router MB"}}
	for _, count := range []int{25, 50, 100, 200, 400} {
		system := startSlopeSystem(t, 2)
		system.startBackends(t, count, modelServer(64))
		r := system.measureDaemon("router-00", waitIdle)
		s.add(float64(count), coresUsed(r), r.ControlTotal, megabytes(r))
		system.Close()
	}
	s.print()
}

// TestSlopeRouters measures the cost of a router and of control by the number of
// routers in the failure domain, with 50 backend servers.
func TestSlopeRouters(t *testing.T) {
	skipUnlessMeasuring(t)
	s := &slope{name: "routers of a failure domain, 50 servers, idle", columns: []string{"router cores", "router control B/s", "control cores", "control B/s at control", "router MB"}}
	for _, count := range []int{2, 4, 8, 16} {
		system := startSlopeSystem(t, count)
		system.startBackends(t, 50, modelServer(64))
		control := load.DaemonReport{}
		r := system.measureDaemon("router-00", func() { control = system.measureDaemon("control", waitIdle) })
		s.add(float64(count), coresUsed(r), r.ControlTotal, coresUsed(control), control.ControlTotal, megabytes(r))
		system.Close()
	}
	s.print()
}

// domainRouters is the number of routers that share the summaries in slopeDomain.
const domainRouters = 4

// TestSlopeDomains measures the cost of a router by the number of other failure
// domains, each with one router. Its own has three more routers and 50 backend servers.
func TestSlopeDomains(t *testing.T) {
	skipUnlessMeasuring(t)
	s := &slope{name: "other failure domains, 50 servers, idle", columns: []string{"router cores", "router control B/s", "router MB"}}
	for _, count := range []int{0, 4, 8, 16} {
		domains := slices.Repeat([]string{slopeDomain}, domainRouters)
		for i := range count {
			domains = append(domains, fmt.Sprintf("other-%d", i))
		}
		system := startSlopeSystemIn(t, domains)
		system.startBackends(t, 50, modelServer(64))
		r := system.measureDaemon("router-00", waitIdle)
		s.add(float64(count), coresUsed(r), r.ControlTotal, megabytes(r))
		system.Close()
	}
	s.print()
}

// TestSlopeRequestsByServers measures the cost of a request by the number of servers
// that its placement considers.
func TestSlopeRequestsByServers(t *testing.T) {
	skipUnlessMeasuring(t)
	s := &slope{name: "servers, at 200 requests/s of one token", columns: []string{"router microseconds a request", "router cores idle"}}
	for _, count := range []int{20, 40, 80, 160, 320} {
		system := startSlopeSystem(t, 1)
		system.startBackends(t, count, modelServer(64))
		idle := coresUsed(system.measureDaemon("router-00", waitIdle))
		report := system.load(slopeMix(200, load.Shape{Name: "one token", PromptTokens: 100, AnswerTokens: 1}))
		r := report.Routers[0]
		s.add(float64(count), (coresUsed(r)-idle)*r.Seconds/float64(report.Sent)*1e6, idle)
		system.Close()
	}
	s.print()
}

// TestSlopeCustomers measures the memory of customers and the cost of a change.
func TestSlopeCustomers(t *testing.T) {
	skipUnlessMeasuring(t)
	s := &slope{name: "customers, applied one after the other", columns: []string{
		"router MB", "control MB", "control ms of CPU a change", "router ms of CPU a change", "control bytes to the router a change",
	}}
	system := startSlopeSystem(t, 1)
	applied := 0
	for _, count := range []int{500, 1000, 2000, 4000} {
		added := float64(count - applied)
		control := load.DaemonReport{}
		router := system.measureDaemon("router-00", func() {
			control = system.measureDaemon("control", func() {
				for ; applied < count; applied++ {
					system.apply(customerResource(load.Customer{Name: fmt.Sprintf("c%d", applied), Token: fmt.Sprintf("token-%d", applied)}))
				}
				time.Sleep(settleTime)
			})
		})
		s.add(float64(count), megabytes(router), megabytes(control), control.CPUSeconds/added*1e3, router.CPUSeconds/added*1e3,
			router.ControlBytesPerSecond["config"]*router.Seconds/added)
	}
	s.print()
}

// TestSlopeChanges measures the cost of changes at a fixed rate for control and for a
// router.
func TestSlopeChanges(t *testing.T) {
	skipUnlessMeasuring(t)
	s := &slope{name: "changes/s", columns: []string{"control cores", "router cores", "router config B/s"}}
	system := startSlopeSystem(t, 1)
	for _, rate := range []int{0, 5, 10, 20, 40} {
		control := load.DaemonReport{}
		router := system.measureDaemon("router-00", func() {
			control = system.measureDaemon("control", func() { system.changeCustomer(rate) })
		})
		s.add(float64(rate), coresUsed(control), coresUsed(router), router.ControlBytesPerSecond["config"])
	}
	s.print()
}

// changeCustomer replaces a customer at this rate per second for observeTime; 0 waits
// without changes.
func (s *system) changeCustomer(rate int) {
	if rate == 0 {
		waitIdle()
		return
	}
	end := time.Now().Add(observeTime)
	for i := 0; time.Now().Before(end); i++ {
		next := time.Now().Add(time.Second / time.Duration(rate))
		changed := customerResource(load.Customer{Name: "changing", Token: fmt.Sprintf("token-%d", i)})
		changed.ResourceVersion = s.changingVersion
		s.changingVersion = s.apply(changed).ResourceVersion
		time.Sleep(time.Until(next))
	}
}

// TestSlopeClaims measures the cost of a call without and with an idempotency key.
func TestSlopeClaims(t *testing.T) {
	skipUnlessMeasuring(t)
	for _, keyed := range []bool{false, true} {
		s := &slope{name: fmt.Sprintf("calls/s, keyed %v", keyed), columns: []string{"router cores", "ledger cores", "ledger B/s", "p99 ms"}}
		for _, rate := range []float64{50, 100, 200, 400} {
			system := startSlopeSystem(t, 1)
			system.startBackends(t, 4, fakebackend.Config{Pool: "engine:calls", Slots: 512})
			var report *load.Report
			ledger := system.measureDaemon("control", func() {
				report = system.load(slopeMix(rate, load.Shape{Name: "call", Service: "calls", Keyed: keyed, PromptTokens: 20}))
			})
			r := report.Routers[0]
			s.add(float64(report.Sent)/r.Seconds, coresUsed(r), coresUsed(ledger), ledger.ControlBytesPerSecond["ledger"], classSeries(report, "call").Whole.P99)
			system.Close()
		}
		s.print()
	}
}
