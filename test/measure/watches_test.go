package measure

import (
	"context"
	"fmt"
	"sync"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"peridotwinch.example/peridotwinch/internal/configwatch"
	"peridotwinch.example/peridotwinch/internal/load"
	"peridotwinch.example/peridotwinch/internal/settings"
	"peridotwinch.example/peridotwinch/internal/testcluster"
)

// controlReplicas is the number of control replicas at the target size.
const controlReplicas = 5

// TestSlopeWatches measures the cost of a group of five control replicas by the number
// of routers that watch it and report to it. The routers are watchers in the test
// process.
func TestSlopeWatches(t *testing.T) {
	skipUnlessMeasuring(t)
	s := &slope{name: "routers that watch five control replicas", columns: []string{
		"highest replica cores", "mean replica cores", "highest replica control B/s", "mean replica control B/s",
		"highest consensus B/s", "highest replica MB",
	}}
	for _, count := range []int{45, 90, 180, 357} {
		system := startControlGroup(t)
		stop := system.startWatchers(count)
		s.add(float64(count), system.controlCosts()...)
		stop()
		system.Close()
	}
	s.print()
}

// TestAimControl measures five control replicas with the customers and routers of the
// target size, right after all routers have received the configuration.
func TestAimControl(t *testing.T) {
	skipUnlessMeasuring(t)
	const routers = 357
	system := startControlGroup(t)
	system.applyCustomers(targetCustomers)
	defer system.startWatchers(routers)()
	c := system.controlCosts()
	fmt.Printf("%d customers, %d watches on %d replicas: highest %.2f%% of a core, %.0f control B/s (mean %.0f, consensus %.0f), %.1f MB\n",
		targetCustomers, routers, controlReplicas, 100*c[0], c[2], c[3], c[4], c[5])
}

// startControlGroup starts five control replicas, each in its own failure domain.
func startControlGroup(t *testing.T) *system {
	g := NewWithT(t)
	spec := testcluster.Spec{}
	for i := range controlReplicas {
		spec.Daemons = append(spec.Daemons, testcluster.DaemonSpec{
			Instance: fmt.Sprint("control-", i), FailureDomain: fmt.Sprint("domain-", i), Roles: []settings.Role{settings.RoleControl},
		})
	}
	cluster, err := testcluster.New(t.TempDir(), spec)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(cluster.Close)
	g.Expect(cluster.Start()).To(Succeed())
	s := &system{Cluster: cluster, g: g, targets: &load.Targets{}}
	for _, daemon := range s.WithRole(settings.RoleControl) {
		g.Expect(daemon.WaitReady()).To(Succeed())
	}
	d := deployment{short: "short", long: "long", servicePool: "calls"}
	for _, resource := range d.resources([]load.Customer{slopeCustomer}) {
		s.apply(resource)
	}
	return s
}

// startWatchers runs this many routers' watches, spread evenly over the replicas'
// failure domains, and waits until all have the configuration. stop ends them.
func (s *system) startWatchers(count int) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	var watchers []*configwatch.Watcher
	var peers []settings.Peer
	for _, daemon := range s.WithRole(settings.RoleControl) {
		peers = append(peers, settings.Peer{
			Instance: daemon.Name, FailureDomain: daemon.Settings.FailureDomain,
			Address: daemon.Settings.Listen.Peers, Roles: daemon.Settings.Roles,
		})
	}
	for i := range count {
		watcher := configwatch.New(&settings.Settings{
			Instance: fmt.Sprintf("router-%03d", i), FailureDomain: fmt.Sprint("domain-", i%controlReplicas), Peers: peers,
		}, zerolog.Nop())
		watchers = append(watchers, watcher)
		wait.Go(func() { _ = watcher.Run(ctx) })
	}
	for _, watcher := range watchers {
		s.g.Expect(testcluster.Eventually(func() error {
			if watcher.IsDisconnected() {
				return errors.New("router has no configuration watch yet")
			}
			return watcher.Ready()
		})).To(Succeed())
	}
	return func() {
		cancel()
		wait.Wait()
	}
}

// controlCosts returns the costs of the idle control replicas: highest and mean cores,
// highest and mean control bytes per second, highest consensus bytes per second, and
// highest resident megabytes.
func (s *system) controlCosts() []float64 {
	before := make(map[string]*load.Counters)
	for _, daemon := range s.WithRole(settings.RoleControl) {
		before[daemon.Name] = s.counters(daemon.Name)
	}
	waitIdle()
	var cores, mean, bytes, meanBytes, consensus, memory float64
	for name, counters := range before {
		r := s.counters(name).Since(counters, name)
		cores, mean = max(cores, coresUsed(r)), mean+coresUsed(r)/controlReplicas
		bytes, meanBytes = max(bytes, r.ControlTotal), meanBytes+r.ControlTotal/controlReplicas
		consensus = max(consensus, r.ControlBytesPerSecond["consensus"])
		memory = max(memory, megabytes(r))
	}
	return []float64{cores, mean, bytes, meanBytes, consensus, memory}
}
