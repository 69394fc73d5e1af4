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

// Times of a slope's measurement at one size.
const (
	settle  = 3 * time.Second
	observe = 8 * time.Second
)

// slope is the cost of a system at several sizes.
type slope struct {
	name    string
	columns []string
	rows    [][]float64
}

// add notes the costs at size x, in the order of the columns.
func (s *slope) add(x float64, costs ...float64) {
	s.rows = append(s.rows, append([]float64{x}, costs...))
}

// print prints the measured points and a line through each column.
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

// slopeDomain is the failure domain that a slope looks at.
const slopeDomain = "a"

// slopeSystem starts one control and ledger daemon and so many routers in one
// failure domain.
func slopeSystem(t *testing.T, routers int) *system {
	return slopeSystemIn(t, slices.Repeat([]string{slopeDomain}, routers))
}

// slopeSystemIn starts a router in each of the failure domains.
func slopeSystemIn(t *testing.T, domains []string) *system {
	g := NewWithT(t)
	spec := testcluster.Spec{Daemons: []testcluster.DaemonSpec{
		{Instance: "control", FailureDomain: slopeDomain, Roles: []settings.Role{settings.RoleControl, settings.RoleLedger}},
	}}
	for i, domain := range domains {
		spec.Daemons = append(spec.Daemons, testcluster.DaemonSpec{
			Instance: fmt.Sprintf("router-%02d", i), FailureDomain: domain, Roles: []settings.Role{settings.RoleRouter},
		})
	}
	bed, err := testcluster.New(t.TempDir(), spec)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(bed.Close)
	g.Expect(bed.Start()).To(Succeed())
	s := &system{Cluster: bed, g: g, targets: &load.Targets{}}
	s.findTargets(spec)
	d := deployment{short: "short", long: "long", appsOf: "calls"}
	for _, resource := range d.resources([]load.Customer{slopeCustomer}) {
		s.apply(resource)
	}
	for _, router := range s.Routers() {
		g.Expect(router.WaitReady()).To(Succeed())
	}
	return s
}

var slopeCustomer = load.Customer{Name: "slope", Token: "slope-token", Share: 1}

// fleet runs so many stand-in backend servers inside the test process, which
// announce themselves to the routers, and returns when all are known.
func (s *system) fleet(t *testing.T, count int, config fakebackend.Config) {
	ctx, cancel := context.WithCancel(context.Background())
	var group run.Group
	group.Add(func() error { <-ctx.Done(); return nil }, func(error) { cancel() })
	routers := s.inDomain(slopeDomain)
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
	time.Sleep(settle)
}

func (s *system) inDomain(domain string) []*testcluster.Daemon {
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

// watch returns what a daemon spends while work runs.
func (s *system) watch(name string, work func()) load.DaemonReport {
	before := s.counters(name)
	work()
	return s.counters(name).Since(before, name)
}

func perSecond(r load.DaemonReport) float64 { return r.CPUSeconds / r.Seconds }

func megabytes(r load.DaemonReport) float64 { return float64(r.ResidentBytes) / 1e6 }

// rest is work that only lets time pass.
func rest() { time.Sleep(observe) }

// slopeMix sends chats of one shape at a fixed rate.
func slopeMix(rate float64, shape load.Shape) *load.Mix {
	shape.Class, shape.Share = api.ClassShort, 1
	if shape.Service == "" {
		shape.Model = "short"
	}
	return &load.Mix{
		Seed: *seed, DurationMS: int(observe.Milliseconds()), RatePerSecond: rate, HomeShare: 1,
		Chats: load.Chats{Turns: 1}, Shapes: []load.Shape{shape}, Customers: []load.Customer{slopeCustomer},
	}
}

func (s *system) load(mix *load.Mix) *load.Report {
	report, err := load.Run(context.Background(), mix, s.targets)
	s.g.Expect(err).NotTo(HaveOccurred())
	s.g.Expect(report.NotWhole).To(BeZero())
	if failed := refused(report); failed > 0 {
		fmt.Printf("  (%d of %d requests were not answered: %v)\n", failed, report.Sent, report.Outcomes)
	}
	return report
}

// TestSlopeRequests is the cost of a request of one token through a router.
func TestSlopeRequests(t *testing.T) {
	needMeasure(t)
	s := &slope{name: "requests/s through a router", columns: []string{"router cores", "router MB"}}
	for _, rate := range []float64{50, 100, 200, 400, 800} {
		system := slopeSystem(t, 1)
		system.fleet(t, 16, modelServer(64))
		report := system.load(slopeMix(rate, load.Shape{Name: "one token", PromptTokens: 100, AnswerTokens: 1}))
		r := report.Routers[0]
		s.add(float64(report.Sent)/r.Seconds, perSecond(r), megabytes(r))
		system.Close()
	}
	s.print()
}

// TestSlopeTokens is the cost of a streamed token through a router, each token
// written and flushed on its own.
func TestSlopeTokens(t *testing.T) {
	needMeasure(t)
	s := &slope{name: "tokens/s streamed through a router at 20 requests/s", columns: []string{"router cores", "router MB"}}
	for _, tokens := range []int{25, 50, 100, 200, 400} {
		system := slopeSystem(t, 1)
		system.fleet(t, 16, modelServer(64))
		report := system.load(slopeMix(20, load.Shape{Name: "stream", PromptTokens: 100, AnswerTokens: tokens}))
		r := report.Routers[0]
		s.add(float64(report.Tokens)/r.Seconds, perSecond(r), megabytes(r))
		system.Close()
	}
	s.print()
}

// TestSlopeServers is what a router spends on the membership of so many backend
// servers that announce themselves to it and to one other router.
func TestSlopeServers(t *testing.T) {
	needMeasure(t)
	s := &slope{name: "servers of a failure domain, 2 routers, idle", columns: []string{"router cores", "control B/s", "router MB"}}
	for _, count := range []int{25, 50, 100, 200, 400} {
		system := slopeSystem(t, 2)
		system.fleet(t, count, modelServer(64))
		r := system.watch("router-00", rest)
		s.add(float64(count), perSecond(r), r.ControlTotal, megabytes(r))
		system.Close()
	}
	s.print()
}

// TestSlopeRouters is what a router spends on so many routers of its failure
// domain, with 50 backend servers.
func TestSlopeRouters(t *testing.T) {
	needMeasure(t)
	s := &slope{name: "routers of a failure domain, 50 servers, idle", columns: []string{"router cores", "router control B/s", "control cores", "control B/s at control", "router MB"}}
	for _, count := range []int{2, 4, 8, 16} {
		system := slopeSystem(t, count)
		system.fleet(t, 50, modelServer(64))
		control := load.DaemonReport{}
		r := system.watch("router-00", func() { control = system.watch("control", rest) })
		s.add(float64(count), perSecond(r), r.ControlTotal, perSecond(control), control.ControlTotal, megabytes(r))
		system.Close()
	}
	s.print()
}

// domainRouters is how many routers of a failure domain share the summaries.
const domainRouters = 4

// TestSlopeDomains is what a router spends on so many other failure domains,
// each with one router, beside three other routers and 50 backend servers.
func TestSlopeDomains(t *testing.T) {
	needMeasure(t)
	s := &slope{name: "other failure domains, 50 servers, idle", columns: []string{"router cores", "router control B/s", "router MB"}}
	for _, count := range []int{0, 4, 8, 16} {
		domains := slices.Repeat([]string{slopeDomain}, domainRouters)
		for i := range count {
			domains = append(domains, fmt.Sprintf("other-%d", i))
		}
		system := slopeSystemIn(t, domains)
		system.fleet(t, 50, modelServer(64))
		r := system.watch("router-00", rest)
		s.add(float64(count), perSecond(r), r.ControlTotal, megabytes(r))
		system.Close()
	}
	s.print()
}

// TestSlopeRequestsByServers is how the cost of a request grows with the
// servers that a decision looks at.
func TestSlopeRequestsByServers(t *testing.T) {
	needMeasure(t)
	s := &slope{name: "servers, at 200 requests/s of one token", columns: []string{"router microseconds a request", "router cores idle"}}
	for _, count := range []int{20, 40, 80, 160, 320} {
		system := slopeSystem(t, 1)
		system.fleet(t, count, modelServer(64))
		idle := perSecond(system.watch("router-00", rest))
		report := system.load(slopeMix(200, load.Shape{Name: "one token", PromptTokens: 100, AnswerTokens: 1}))
		r := report.Routers[0]
		s.add(float64(count), (perSecond(r)-idle)*r.Seconds/float64(report.Sent)*1e6, idle)
		system.Close()
	}
	s.print()
}

// TestSlopeCustomers is the memory that customers take and the cost of a change.
func TestSlopeCustomers(t *testing.T) {
	needMeasure(t)
	s := &slope{name: "customers, applied one after the other", columns: []string{
		"router MB", "control MB", "control ms of CPU a change", "router ms of CPU a change", "control bytes to the router a change",
	}}
	system := slopeSystem(t, 1)
	applied := 0
	for _, count := range []int{500, 1000, 2000, 4000} {
		added := float64(count - applied)
		control := load.DaemonReport{}
		router := system.watch("router-00", func() {
			control = system.watch("control", func() {
				for ; applied < count; applied++ {
					system.apply(customerResource(load.Customer{Name: fmt.Sprintf("c%d", applied), Token: fmt.Sprintf("token-%d", applied)}))
				}
				time.Sleep(settle)
			})
		})
		s.add(float64(count), megabytes(router), megabytes(control), control.CPUSeconds/added*1e3, router.CPUSeconds/added*1e3,
			router.ControlBytesPerSecond["config"]*router.Seconds/added)
	}
	s.print()
}

// TestSlopeChanges is what control and a router spend on changes at a fixed rate.
func TestSlopeChanges(t *testing.T) {
	needMeasure(t)
	s := &slope{name: "changes/s", columns: []string{"control cores", "router cores", "router config B/s"}}
	system := slopeSystem(t, 1)
	for _, rate := range []int{0, 5, 10, 20, 40} {
		control := load.DaemonReport{}
		router := system.watch("router-00", func() {
			control = system.watch("control", func() { system.change(rate) })
		})
		s.add(float64(rate), perSecond(control), perSecond(router), router.ControlBytesPerSecond["config"])
	}
	s.print()
}

// change replaces a customer so many times a second.
func (s *system) change(rate int) {
	if rate == 0 {
		rest()
		return
	}
	end := time.Now().Add(observe)
	for i := 0; time.Now().Before(end); i++ {
		next := time.Now().Add(time.Second / time.Duration(rate))
		changed := customerResource(load.Customer{Name: "changing", Token: fmt.Sprintf("token-%d", i)})
		changed.ResourceVersion = s.changing
		s.changing = s.apply(changed).ResourceVersion
		time.Sleep(time.Until(next))
	}
}

// TestSlopeClaims is the cost of a call with an idempotency key, beside one
// without.
func TestSlopeClaims(t *testing.T) {
	needMeasure(t)
	for _, keyed := range []bool{false, true} {
		s := &slope{name: fmt.Sprintf("calls/s, keyed %v", keyed), columns: []string{"router cores", "ledger cores", "ledger B/s", "p99 ms"}}
		for _, rate := range []float64{50, 100, 200, 400} {
			system := slopeSystem(t, 1)
			system.fleet(t, 4, fakebackend.Config{Pool: "engine:calls", Slots: 512})
			var report *load.Report
			ledger := system.watch("control", func() {
				report = system.load(slopeMix(rate, load.Shape{Name: "call", Service: "calls", Keyed: keyed, PromptTokens: 20}))
			})
			r := report.Routers[0]
			s.add(float64(report.Sent)/r.Seconds, perSecond(r), perSecond(ledger), ledger.ControlBytesPerSecond["ledger"], class(report, "call").Whole.P99)
			system.Close()
		}
		s.print()
	}
}
