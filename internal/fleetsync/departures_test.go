package fleetsync_test

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/fleetsync"
	"peridotwinch.example/peridotwinch/internal/fleetview"
	"peridotwinch.example/peridotwinch/internal/registry"
)

// TestDeparturesOutliveARestart guards against a late announcement that revives a server after a
// restart of all control replicas.
func TestDeparturesOutliveARestart(t *testing.T) {
	g := NewWithT(t)
	one, two := reserveAddress(t), reserveAddress(t)
	paths := []string{filepath.Join(t.TempDir(), "departures"), filepath.Join(t.TempDir(), "departures")}
	newServices := func() (services []*fleetsync.Service) {
		for i, own := range []string{one, two} {
			log := fleetsync.OpenDepartureLog(paths[i], zerolog.Nop())
			services = append(services, fleetsync.NewService(own, newFakeReplica(one, two), newTestLosses(), log, controlLimits, 0, zerolog.Nop()))
		}
		return services
	}
	before := newServices()
	serve(t, before[0], one)
	serve(t, before[1], two)
	gone, draining := testServer(1), testServer(2)
	g.Expect(before[0].Announce(context.Background(), gone)).To(Succeed())
	g.Expect(before[0].Withdraw(context.Background(), gone.ID)).To(Succeed())
	draining.State = registry.StateDraining
	g.Expect(before[1].Announce(context.Background(), draining)).To(Succeed())
	for i, service := range newServices() {
		g.Expect(service.Announce(context.Background(), gone)).To(Succeed())
		g.Expect(service.StateOf(gone.ID)).To(Equal(registry.StateGone), "replica %d", i)
		g.Expect(service.StateOf(draining.ID)).To(Equal(registry.StateDraining), "replica %d", i)
		restarted := gone
		restarted.StartedMS++
		g.Expect(service.Announce(context.Background(), restarted)).To(Succeed())
		g.Expect(service.StateOf(gone.ID)).To(Equal(registry.StateReady), "a later incarnation")
	}
}

// TestDepartureNeedsOneDurableCopy guards against a departure that is confirmed but stored nowhere,
// and against one that is refused because a single disk fails.
func TestDepartureNeedsOneDurableCopy(t *testing.T) {
	g := NewWithT(t)
	one, two := reserveAddress(t), reserveAddress(t)
	blocked := filepath.Join(t.TempDir(), "file")
	g.Expect(os.WriteFile(blocked, nil, 0o600)).To(Succeed())
	failing := fleetsync.OpenDepartureLog(filepath.Join(blocked, "departures"), zerolog.Nop())
	first := fleetsync.NewService(one, newFakeReplica(one, two), newTestLosses(), failing, controlLimits, 0, zerolog.Nop())
	serve(t, first, one)
	server := testServer(1)
	server.State = registry.StateDraining
	err := first.Announce(context.Background(), server)
	g.Expect(api.AsError(err).Code).To(Equal(api.CodeNoQuorum))
	serve(t, newTestService(t, newFakeReplica(one, two), two), two)
	g.Eventually(func() error { return first.Announce(context.Background(), server) }, 5*time.Second).Should(Succeed())
}

// TestDepartureLogForgetsExpiredRecords guards against a log that grows for good.
func TestDepartureLogForgetsExpiredRecords(t *testing.T) {
	g := NewWithT(t)
	path := filepath.Join(t.TempDir(), "departures")
	log := fleetsync.OpenDepartureLog(path, zerolog.Nop())
	entry := func(i int, age time.Duration) registry.Entry {
		server := testServer(i)
		server.State = registry.StateGone
		return registry.Entry{Server: server, LastAnnounced: time.Now().Add(-age)}
	}
	for i := range 200 {
		var batch []registry.Entry
		for j := range 50 {
			batch = append(batch, entry(50*i+j, 2*registry.EntryRetention))
		}
		g.Expect(log.Append(context.Background(), batch...)).To(Succeed())
	}
	g.Expect(log.Append(context.Background(), entry(0, 0))).To(Succeed())
	info, err := os.Stat(path)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(info.Size()).To(BeNumerically("<", 512<<10), "bytes for 10,000 records")
	g.Expect(fleetsync.OpenDepartureLog(path, zerolog.Nop()).Entries(time.Now())).To(HaveLen(1))
}

// TestDeparturesOutlastFileThatCouldNotBeOpened guards against a file that is emptied because it
// could not be opened for a moment.
func TestDeparturesOutlastFileThatCouldNotBeOpened(t *testing.T) {
	g := NewWithT(t)
	path := filepath.Join(t.TempDir(), "departures")
	departure := func(i int) registry.Entry {
		server := testServer(i)
		server.State = registry.StateGone
		return registry.Entry{Server: server, LastAnnounced: time.Now()}
	}
	g.Expect(fleetsync.OpenDepartureLog(path, zerolog.Nop()).Append(context.Background(), departure(1))).To(Succeed())
	g.Expect(os.Rename(path, path+".moved")).To(Succeed())
	g.Expect(os.Mkdir(path, 0o755)).To(Succeed())
	log := fleetsync.OpenDepartureLog(path, zerolog.Nop())
	g.Expect(log.Append(context.Background(), departure(2))).NotTo(Succeed())
	g.Expect(os.Remove(path)).To(Succeed())
	g.Expect(os.Rename(path+".moved", path)).To(Succeed())
	g.Expect(log.Append(context.Background(), departure(3))).To(Succeed())
	g.Expect(log.IsStored(departure(1))).To(BeTrue())
	g.Expect(fleetsync.OpenDepartureLog(path, zerolog.Nop()).IsStored(departure(1))).To(BeTrue())
}

// TestWithdrawalOfUnknownServerReachesRouters guards against a withdrawal that is confirmed by replicas
// that do not know the server, since they have restarted, while routers go on using it.
func TestWithdrawalOfUnknownServerReachesRouters(t *testing.T) {
	g := NewWithT(t)
	one, two := reserveAddress(t), reserveAddress(t)
	start := func() (services []*fleetsync.Service, stop func()) {
		ctx, cancel := context.WithCancel(context.Background())
		var stopped []<-chan struct{}
		for _, own := range []string{one, two} {
			replica := newFakeReplica(one, two)
			replica.setTable(newTable(t, 1))
			service := newTestService(t, replica, own)
			services, stopped = append(services, service), append(stopped, serveUntil(t, ctx, service, own))
		}
		return services, func() {
			cancel()
			for _, done := range stopped {
				<-done
			}
		}
	}
	services, stop := start()
	for i := range 3 {
		g.Expect(services[0].Announce(context.Background(), testServer(i))).To(Succeed())
	}
	var fleets []*serverCounter
	for _, source := range []string{one, two} {
		_, fleet := startRouter(t, "router-of-"+source, source)
		g.Eventually(fleet.servers.Load, 5*time.Second, 5*time.Millisecond).Should(Equal(int64(3)))
		fleets = append(fleets, fleet)
	}
	stop()
	services, _ = start()
	time.Sleep(time.Second)
	left := testServer(0)
	g.Expect(services[0].Withdraw(context.Background(), left.ID)).To(Succeed())
	for i, fleet := range fleets {
		g.Eventually(func() registry.State { return fleet.entry(left.ID).State }, 2*time.Second, 5*time.Millisecond).
			Should(Equal(registry.StateGone), "router %d", i)
		g.Expect(fleet.entry(left.ID).Address).To(Equal(left.Address))
		g.Expect(fleet.entry(testServer(1).ID).State).To(Equal(registry.StateReady), "another server that control does not know yet")
	}
	g.Expect(services[1].Announce(context.Background(), left)).To(Succeed(), "a delayed announcement")
	g.Expect(services[1].StateOf(left.ID)).To(Equal(registry.StateGone))
	left.StartedMS = time.Now().UnixMilli()
	g.Expect(services[1].Announce(context.Background(), left)).To(Succeed())
	for _, fleet := range fleets {
		g.Eventually(func() registry.State { return fleet.entry(left.ID).State }, 2*time.Second, 5*time.Millisecond).
			Should(Equal(registry.StateReady), "a later incarnation")
	}
}

// TestWithdrawalOfUnknownServerOutlivesARestart guards against a second restart that forgets it.
func TestWithdrawalOfUnknownServerOutlivesARestart(t *testing.T) {
	g := NewWithT(t)
	one, two := reserveAddress(t), reserveAddress(t)
	path := filepath.Join(t.TempDir(), "departures")
	server := testServer(1)
	for restart := range 2 {
		log := fleetsync.OpenDepartureLog(path, zerolog.Nop())
		service := fleetsync.NewService(one, newFakeReplica(one, two), newTestLosses(), log, controlLimits, 0, zerolog.Nop())
		if restart == 0 {
			g.Expect(service.Withdraw(context.Background(), server.ID)).To(Succeed())
		}
		g.Expect(service.Announce(context.Background(), server)).To(Succeed())
		g.Expect(service.StateOf(server.ID)).To(Equal(registry.StateGone))
	}
}

// TestSecondWithdrawalOfUnknownServerIsStored guards against the withdrawal of a later incarnation that
// is confirmed and forgotten by a restart, and against replicas that pass a withdrawal on for good.
func TestSecondWithdrawalOfUnknownServerIsStored(t *testing.T) {
	g := NewWithT(t)
	one, two := reserveAddress(t), reserveAddress(t)
	path := filepath.Join(t.TempDir(), "departures")
	service := fleetsync.NewService(one, newFakeReplica(one, two), newTestLosses(), fleetsync.OpenDepartureLog(path, zerolog.Nop()), controlLimits, 0, zerolog.Nop())
	serve(t, service, one)
	other := newTestService(t, newFakeReplica(one, two), two)
	serve(t, other, two)
	withdraw := func() time.Time {
		at := time.Now()
		g.Expect(service.Withdraw(context.Background(), "i-1")).To(Succeed())
		return at
	}
	withdraw()
	time.Sleep(2 * time.Second)
	second := withdraw()
	entries := fleetsync.OpenDepartureLog(path, zerolog.Nop()).Entries(time.Now())
	g.Expect(entries).To(HaveLen(1))
	g.Expect(entries[0].LastAnnounced).To(BeTemporally("~", second, 500*time.Millisecond))
	revision := service.Revision()
	g.Consistently(service.Revision, 2*time.Second).Should(Equal(revision))
}

// TestWithdrawalsOfUnknownServersAreBounded guards against a log that withdrawals of servers that never
// were fill, and against an ID that does not fit into a record.
func TestWithdrawalsOfUnknownServersAreBounded(t *testing.T) {
	g := NewWithT(t)
	one := reserveAddress(t)
	path := filepath.Join(t.TempDir(), "departures")
	service := fleetsync.NewService(one, newFakeReplica(one), newTestLosses(), fleetsync.OpenDepartureLog(path, zerolog.Nop()), controlLimits, 0, zerolog.Nop())
	real := testServer(1)
	g.Expect(service.Announce(context.Background(), real)).To(Succeed())
	var refused error
	for i := range registry.MaxWithdrawn + 1 {
		refused = service.Withdraw(context.Background(), fmt.Sprint("never-", i))
	}
	g.Expect(api.AsError(refused).Code).To(Equal(api.CodeWithdrawalsFull))
	g.Expect(service.Withdraw(context.Background(), real.ID)).To(Succeed())
	g.Expect(service.StateOf(real.ID)).To(Equal(registry.StateGone))
	info, err := os.Stat(path)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(info.Size()).To(BeNumerically("<", 1<<20))
	invalid := service.Withdraw(context.Background(), strings.Repeat("x", 257))
	g.Expect(api.AsError(invalid).Code).To(Equal(api.CodeAnnouncement))
	g.Expect(api.AsError(invalid).Field).To(Equal(registry.FieldID))
}

// TestOutdatedDepartureIsNotConfirmed guards against a departure that is confirmed and has no effect,
// because an announcement with a later start time is known under the server's ID.
func TestOutdatedDepartureIsNotConfirmed(t *testing.T) {
	g := NewWithT(t)
	address := reserveAddress(t)
	service := newTestService(t, newFakeReplica(address), address)
	leaving := testServer(1)
	leaving.State, leaving.Sequence = registry.StateDraining, leaving.Sequence+10
	later := testServer(1)
	later.StartedMS++
	g.Expect(service.Announce(context.Background(), later)).To(Succeed())
	err := service.Announce(context.Background(), leaving)
	g.Expect(api.AsError(err).Code).To(Equal(api.CodeAnnouncementOld))
	g.Expect(service.StateOf(leaving.ID)).To(Equal(registry.StateReady))
	ready := leaving
	ready.State = registry.StateReady
	g.Expect(service.Announce(context.Background(), ready)).To(Succeed(), "a late announcement of a ready server")
	later.State, later.Sequence = registry.StateDraining, later.Sequence+1
	g.Expect(service.Announce(context.Background(), later)).To(Succeed())
	g.Expect(service.Announce(context.Background(), leaving)).To(Succeed(), "the server leaves anyway")
}

// TestChangeOfSourceDoesNotReviveServer guards against a source that has not heard yet that a server is
// gone: its record has the same sequence number, as a withdrawal has none.
func TestChangeOfSourceDoesNotReviveServer(t *testing.T) {
	g := NewWithT(t)
	addresses := fleetview.PreferenceOrder("router-1", []string{reserveAddress(t), reserveAddress(t)})
	server := testServer(1)
	var services []*fleetsync.Service
	for _, own := range addresses {
		// The replicas do not exchange records.
		replica := newFakeReplica(own)
		replica.setTable(newTable(t, 1))
		service := newTestService(t, replica, own)
		g.Expect(service.Announce(context.Background(), server)).To(Succeed())
		services = append(services, service)
	}
	ctx, stop := context.WithCancel(context.Background())
	stopped := serveUntil(t, ctx, services[0], addresses[0])
	_, fleet := startRouter(t, "router-1", addresses...)
	state := func() registry.State { return fleet.entry(server.ID).State }
	g.Eventually(state, 5*time.Second).Should(Equal(registry.StateReady))
	g.Expect(services[0].Withdraw(context.Background(), server.ID)).To(Succeed())
	g.Eventually(state, 5*time.Second).Should(Equal(registry.StateGone))
	// The second source starts late: a busy router may follow it before the first one.
	serve(t, services[1], addresses[1])
	stop()
	<-stopped
	g.Consistently(state, 3*time.Second).Should(Equal(registry.StateGone))
	g.Expect(services[1].StateOf(server.ID)).To(Equal(registry.StateReady), "the second source has not heard")
	g.Eventually(services[1].Subscribers, 5*time.Second).Should(Equal(1), "the router follows the second source")
	g.Expect(state()).To(Equal(registry.StateGone))
}

// TestRelayThatStartedAfterADepartureReportsIt guards against a router that has missed that a server is
// gone, and then follows a relay that has never had the server: it would use it for another 10 s.
func TestRelayThatStartedAfterADepartureReportsIt(t *testing.T) {
	g := NewWithT(t)
	address := reserveAddress(t)
	first, second := newCountingProxy(t, address), newCountingProxy(t, address)
	replica := newFakeReplica(first.address)
	replica.setTable(newTable(t, 1))
	service := newTestService(t, replica, address)
	serve(t, service, address)
	server := testServer(1)
	g.Expect(service.Announce(context.Background(), server)).To(Succeed())
	router := startRelayingRouter(t, "router-1", "domain-a", first.address)
	state := func() registry.State { return router.fleet.entry(server.ID).State }
	g.Eventually(state, 5*time.Second, 5*time.Millisecond).Should(Equal(registry.StateReady))
	first.cut()
	first.closeConnections()
	g.Expect(service.Withdraw(context.Background(), server.ID)).To(Succeed())
	relaying := startRelayingRouter(t, "router-2", "domain-a", second.address)
	g.Eventually(generationOf(relaying.view), 5*time.Second, 5*time.Millisecond).Should(Equal(uint64(1)))
	router.view.SetSeeds([]string{relaying.address})
	g.Eventually(state, 4*time.Second, 5*time.Millisecond).Should(Equal(registry.StateGone))
}
