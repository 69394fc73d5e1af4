package fleetsync_test

import (
	"context"
	"fmt"
	"net"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"peridotwinch.example/peridotwinch/internal/fleetsync"
	"peridotwinch.example/peridotwinch/internal/registry"
	"peridotwinch.example/peridotwinch/internal/relay"
)

// announcedFleet is a control replica and another one, with the numbers of routers that they
// admit.
type announcedFleet struct {
	replica    *fakeReplica
	service    *fleetsync.Service
	other      *fleetsync.Service
	address    string
	departures string
	// stop ends the replica.
	stop func()
}

func startAnnouncedFleet(t *testing.T, servers, direct, atOther int) *announcedFleet {
	g := NewWithT(t)
	f := &announcedFleet{address: reserveAddress(t), departures: filepath.Join(t.TempDir(), "departures")}
	otherAddress := reserveAddress(t)
	f.replica = newFakeReplica(f.address, otherAddress)
	f.replica.table = newTable(t, 1)
	f.service = fleetsync.NewService(f.address, f.replica, newTestLosses(), fleetsync.OpenDepartureLog(f.departures, zerolog.Nop()), relay.Limits{Unconditional: direct, Max: direct}, 0, zerolog.Nop())
	f.other = fleetsync.NewService(otherAddress, newFakeReplica(f.address, otherAddress), newTestLosses(), newTestDepartures(t), relay.Limits{Unconditional: atOther, Max: atOther}, 0, zerolog.Nop())
	for i := range servers {
		g.Expect(f.service.Announce(context.Background(), testServer(i))).To(Succeed())
	}
	ctx, cancel := context.WithCancel(context.Background())
	stopped := serveUntil(t, ctx, f.service, f.address)
	f.stop = func() { cancel(); <-stopped }
	serve(t, f.other, otherAddress)
	return f
}

// startFollower starts a router that follows a source and waits until it has the servers.
func startFollower(t *testing.T, name, source string, servers int) *relayingRouter {
	r := startRelayingRouter(t, name, "domain-a", source)
	NewWithT(t).Eventually(r.fleet.servers.Load, 5*time.Second, 10*time.Millisecond).Should(Equal(int64(servers)))
	return r
}

func (f *announcedFleet) routerOf(i int) string {
	return f.service.AnnouncementRouter(testServer(i), time.Now())
}

// TestServersAnnounceToRoutersInLargeFleetOnly guards against smaller fleets that change, and against
// servers that are sent to a router that is lost, that stops or that follows no source with a quorum.
func TestServersAnnounceToRoutersInLargeFleetOnly(t *testing.T) {
	g := NewWithT(t)
	f := startAnnouncedFleet(t, 1200, 2, 0)
	one, two := startFollower(t, "one", f.address, 1200), startFollower(t, "two", f.address, 1200)
	time.Sleep(time.Second)
	g.Expect(f.routerOf(0)).To(BeEmpty(), "1,200 servers")
	g.Expect(f.service.Announce(context.Background(), testServer(1200))).To(Succeed())
	count := func() map[string]int {
		out := make(map[string]int)
		for i := range 1201 {
			out[f.routerOf(i)]++
		}
		return out
	}
	g.Eventually(count, 3*time.Second, 50*time.Millisecond).Should(HaveLen(2))
	g.Expect(count()).To(And(HaveKeyWithValue("one:80", BeNumerically("~", 600, 90)), HaveKeyWithValue("two:80", BeNumerically("~", 600, 90))))
	g.Eventually(one.fleet.servers.Load, time.Second, 10*time.Millisecond).Should(Equal(int64(1201)))
	g.Expect(one.view.Announcements().Announce(context.Background(), testServer(0))).To(Succeed())
	g.Expect(one.view.Announcements().AnnouncementAddress(testServer(0))).To(Equal("one:80"))
	one.view.Announcements().Stop()
	g.Expect(one.view.Announcements().Announce(context.Background(), testServer(0))).NotTo(Succeed())
	g.Expect(one.view.Announcements().AnnouncementAddress(testServer(0))).To(BeEmpty())
	g.Eventually(count, time.Second, 10*time.Millisecond).Should(Equal(map[string]int{"two:80": 1201}))
	two.stop()
	g.Eventually(count, 3*time.Second, 10*time.Millisecond).Should(Equal(map[string]int{"": 1201}))
}

// TestRouterWithoutQuorumRefusesAnnouncements guards against heartbeats that a router acknowledges while
// it cannot learn of changes.
func TestRouterWithoutQuorumRefusesAnnouncements(t *testing.T) {
	g := NewWithT(t)
	f := startAnnouncedFleet(t, 1300, 1, 0)
	r := startFollower(t, "one", f.address, 1300)
	g.Eventually(func() string { return f.routerOf(0) }, 3*time.Second, 10*time.Millisecond).Should(Equal("one:80"))
	f.replica.setQuorum(false)
	g.Expect(f.routerOf(0)).To(BeEmpty())
	announce := func() error { return r.view.Announcements().Announce(context.Background(), testServer(0)) }
	g.Eventually(announce, 3*time.Second, 10*time.Millisecond).ShouldNot(Succeed())
	f.replica.setQuorum(true)
	g.Eventually(announce, 3*time.Second, 10*time.Millisecond).Should(Succeed())
}

// TestRouterForwardsWhatIsNews guards against changes that a router acknowledges before control has
// them, against departures that are lost with a control replica, and against a late heartbeat that
// returns a server that left.
func TestRouterForwardsWhatIsNews(t *testing.T) {
	g := NewWithT(t)
	f := startAnnouncedFleet(t, 1300, 1, 0)
	announcements := startFollower(t, "one", f.address, 1300).view.Announcements()
	announce := func(server registry.Server) {
		g.ExpectWithOffset(1, announcements.Announce(context.Background(), server)).To(Succeed())
	}
	announce(testServer(5000))
	g.Expect(f.service.StateOf(testServer(5000).ID)).To(Equal(registry.StateReady), "an unknown server")
	changes := map[string]func(*registry.Server){
		"start": func(s *registry.Server) { s.StartedMS++ }, "slots": func(s *registry.Server) { s.Slots = 3 },
		"address": func(s *registry.Server) { s.Address = "10.9.0.1:1" }, "models": func(s *registry.Server) { s.Models = nil },
		"warm-up": func(s *registry.Server) { s.WarmupLeft = time.Minute }, "version": func(s *registry.Server) { s.Version = "v2" },
		"pool": func(s *registry.Server) { s.Pool = "pool-b" },
	}
	i := 0
	for name, change := range changes {
		i++
		server := testServer(i)
		server.Sequence = 2
		change(&server)
		announce(server)
		entry := f.service.EntryOf(server.ID)
		server.WarmupLeft, entry.WarmupLeft = 0, 0
		g.Expect(entry.Server).To(Equal(server), name)
		g.Expect(!entry.WarmupUntil.IsZero()).To(Equal(name == "warm-up"), name)
	}
	draining := testServer(100)
	draining.State, draining.Sequence = registry.StateDraining, 3
	g.Eventually(func() error { return announcements.Announce(context.Background(), draining) }, 10*time.Second).Should(Succeed())
	// Like a server, the test repeats a call that was not confirmed as stored in time.
	withdraw := func() error { return announcements.Withdraw(context.Background(), testServer(101).ID) }
	g.Eventually(withdraw, 10*time.Second).Should(Succeed())
	stored := make(map[string]registry.State)
	for _, e := range fleetsync.OpenDepartureLog(f.departures, zerolog.Nop()).Entries(time.Now()) {
		stored[e.ID] = e.State
	}
	g.Expect(stored).To(HaveKeyWithValue(draining.ID, registry.StateDraining))
	g.Expect(stored).To(HaveKeyWithValue(testServer(101).ID, registry.StateGone))
	late := testServer(100)
	late.Sequence = 2
	announce(late)
	time.Sleep(time.Second)
	g.Expect(f.service.StateOf(late.ID)).To(Equal(registry.StateDraining))
}

// TestRouterWithOldRecordForwards guards against a heartbeat of a server that control counts as gone or
// does not know, and that a router goes on acknowledging.
func TestRouterWithOldRecordForwards(t *testing.T) {
	g := NewWithT(t)
	f := startAnnouncedFleet(t, 1300, 1, 0)
	r := startFollower(t, "one", f.address, 1300)
	server := testServer(0)
	f.service.Forget(server.ID)
	f.other.Forget(server.ID)
	g.Eventually(func() registry.State {
		g.Expect(r.view.Announcements().Announce(context.Background(), server)).To(Succeed())
		return f.service.StateOf(server.ID)
	}, 4*time.Second, 100*time.Millisecond).Should(Equal(registry.StateReady))
}

// TestForwardingTriesASecondReplica guards against a control replica that does not answer and keeps
// servers from leaving within their time limit of 1 s.
func TestForwardingTriesASecondReplica(t *testing.T) {
	g := NewWithT(t)
	frozen, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = frozen.Close() })
	address := reserveAddress(t)
	proxy := newCountingProxy(t, address)
	controls := []string{frozen.Addr().String(), proxy.address}
	replica := newFakeReplica(controls...)
	replica.table = newTable(t, 1)
	// The replica's own address is none of the controls, so the router starts with its preferred one.
	service := newTestService(t, replica, address)
	serve(t, service, address)
	name := ""
	for i := 0; name == "" || relay.Rank(name, controls)[0] != controls[0]; i++ {
		name = fmt.Sprintf("router-%d", i)
	}
	r := startRelayingRouter(t, name, "domain-a", proxy.address)
	g.Eventually(generationOf(r.view), 5*time.Second, 10*time.Millisecond).Should(Equal(uint64(1)))
	started := time.Now()
	g.Expect(r.view.Announcements().Announce(context.Background(), testServer(1))).To(Succeed())
	g.Expect(time.Since(started)).To(And(BeNumerically(">", 400*time.Millisecond), BeNumerically("<", 900*time.Millisecond)))
	g.Expect(service.StateOf(testServer(1).ID)).To(Equal(registry.StateReady))
}

// TestHeartbeatsFollowTheRouterToAnotherReplica guards against servers that stay silent at the replica
// that a router follows after the loss of its former one.
func TestHeartbeatsFollowTheRouterToAnotherReplica(t *testing.T) {
	g := NewWithT(t)
	f := startAnnouncedFleet(t, 1300, 1, 1)
	r := startFollower(t, "one", f.address, 1300)
	server := testServer(0)
	g.Expect(r.view.Announcements().Announce(context.Background(), server)).To(Succeed())
	f.stop()
	lost := time.Now()
	oldest := time.Duration(0)
	g.Eventually(func() time.Time {
		server.Sequence++
		_ = r.view.Announcements().Announce(context.Background(), server)
		entry := f.other.EntryOf(server.ID)
		oldest = max(oldest, time.Since(entry.LastAnnounced))
		return entry.LastAnnounced
	}, 5*time.Second, 20*time.Millisecond).Should(BeTemporally(">", lost))
	t.Logf("the other replica had a heartbeat %v after the loss; the oldest was %v old", time.Since(lost), oldest)
	g.Expect(oldest).To(BeNumerically("<", registry.SilentAfter))
}

// TestHeartbeatsAtRoutersStayFresh guards against servers that count as silent because their heartbeats
// take one hop more, or two through a relay: at both control replicas the last heartbeat stays younger than
// 3.5 s. After the router is lost the servers return to control.
func TestHeartbeatsAtRoutersStayFresh(t *testing.T) {
	for _, relayed := range []bool{false, true} {
		t.Run(fmt.Sprint("relayed=", relayed), func(t *testing.T) { testFreshness(t, relayed) })
	}
}

func testFreshness(t *testing.T, relayed bool) {
	t.Parallel()
	g := NewWithT(t)
	const servers = 100
	f := startAnnouncedFleet(t, 1300, 1, 0)
	source := f.address
	if relayed {
		source = startFollower(t, "relay", f.address, 1300).address
	}
	r := startFollower(t, "one", source, 1300)
	heartbeat := func(sequence uint64, announce func(context.Context, registry.Server) error) {
		for i := range servers {
			server := testServer(i)
			server.Sequence = sequence
			g.Expect(announce(context.Background(), server)).To(Succeed())
		}
	}
	oldest := map[string]time.Duration{}
	measure := func(until time.Time) {
		for time.Now().Before(until) {
			for name, service := range map[string]*fleetsync.Service{"followed": f.service, "other": f.other} {
				for i := range servers {
					entry := service.EntryOf(testServer(i).ID)
					oldest[name] = max(oldest[name], time.Since(entry.LastAnnounced))
					g.Expect(entry.Silent).To(BeFalse(), "at the %s replica", name)
				}
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	// The servers' last announcement to control, which named the router.
	heartbeat(2, f.service.Announce)
	measure(time.Now().Add(1200 * time.Millisecond))
	sequence := uint64(3)
	for range 8 {
		heartbeat(sequence, r.view.Announcements().Announce)
		sequence++
		measure(time.Now().Add(1200 * time.Millisecond))
	}
	if relayed {
		g.Expect(r.view.Depth()).To(Equal(2))
	}
	t.Logf("oldest heartbeat, relayed=%v: %v", relayed, oldest)
	g.Expect(oldest["followed"]).To(BeNumerically("<", 2600*time.Millisecond))
	g.Expect(oldest["other"]).To(BeNumerically("<", 3500*time.Millisecond))
	heartbeat(sequence, r.view.Announcements().Announce)
	r.stop()
	measure(time.Now().Add(1200 * time.Millisecond))
	heartbeat(sequence+1, f.service.Announce)
	measure(time.Now().Add(1200 * time.Millisecond))
}
