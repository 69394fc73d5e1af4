package fleetsync_test

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/fleetsync"
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
	g.Expect(log.IsStored(departure(1).Server)).To(BeTrue())
	g.Expect(fleetsync.OpenDepartureLog(path, zerolog.Nop()).IsStored(departure(1).Server)).To(BeTrue())
}
