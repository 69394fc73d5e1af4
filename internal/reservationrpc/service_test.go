package reservationrpc_test

import (
	"context"
	"net"
	"sync"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"peridotwinch.example/peridotwinch/internal/balance"
	"peridotwinch.example/peridotwinch/internal/reservation"
	"peridotwinch.example/peridotwinch/internal/reservationrpc"
	"peridotwinch.example/peridotwinch/internal/rpc"
	"peridotwinch.example/peridotwinch/internal/settings"
	"peridotwinch.example/peridotwinch/internal/testcluster"
)

const server = "127.0.0.1:9000"

// fakeMembers is a Members with a list of live routers that the test sets.
type fakeMembers struct {
	mu   sync.Mutex
	live []string
}

func (m *fakeMembers) LiveRouters() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.live
}

func (m *fakeMembers) set(live ...string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.live = live
}

// fakeGranter grants up to a number of slots on any server.
type fakeGranter struct {
	mu     sync.Mutex
	slots  int
	counts *reservation.PeerCounts
	// blocked, if not nil, blocks HandleReservation until it is closed.
	blocked chan struct{}
}

func (f *fakeGranter) HandleReservation(router string, message reservation.Message) (granted, peerInFlight int, owned bool) {
	f.mu.Lock()
	blocked := f.blocked
	f.mu.Unlock()
	if blocked != nil {
		<-blocked
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts.Set(message.Server, router, message.Held)
	for granted < message.Requested && f.counts.Sum(message.Server) < f.slots {
		granted++
		f.counts.Set(message.Server, router, message.Held+granted)
	}
	return granted, 7, true
}

func (f *fakeGranter) RouterLost(router string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts.Forget(router)
}

func (f *fakeGranter) setBlocked(blocked chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.blocked = blocked
}

func (f *fakeGranter) reservationsOf(router string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.counts.Get(server, router)
}

// node is a router's service with its fakes.
type node struct {
	*reservationrpc.Service
	granter *fakeGranter
	members *fakeMembers
	stop    context.CancelFunc
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return listener
}

func start(t *testing.T, instance string, listener net.Listener, peers []settings.Peer) *node {
	t.Helper()
	s := &settings.Settings{Instance: instance, FailureDomain: "d", Roles: []settings.Role{settings.RoleRouter}, Peers: peers}
	n := &node{granter: &fakeGranter{slots: 2, counts: reservation.NewPeerCounts()}, members: &fakeMembers{}}
	n.members.set("a", "b")
	n.Service = reservationrpc.New(s, zerolog.Nop(), n.members, n.granter)
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	mux := rpc.NewServer()
	NewWithT(t).Expect(n.Register(mux.Mux())).To(Succeed())
	go func() { _ = mux.Serve(ctx, listener) }()
	go func() { _ = n.Run(ctx) }()
	t.Cleanup(cancel)
	return n
}

func peer(instance, address string) settings.Peer {
	return settings.Peer{Instance: instance, FailureDomain: "d", Address: address, Roles: []settings.Role{settings.RoleRouter}}
}

// startPair starts two routers. It returns the owner of the test's pool, the other
// router, and a relay through which the other one reaches the owner.
func startPair(t *testing.T) (owner, requester *node, ownerName, requesterName string, relay *testcluster.Relay) {
	t.Helper()
	listeners := map[string]net.Listener{"a": listen(t), "b": listen(t)}
	ownerName = reservation.Owner("pool", []string{"a", "b"})
	requesterName = map[string]string{"a": "b", "b": "a"}[ownerName]
	relay, err := testcluster.NewRelay(listeners[ownerName].Addr().String())
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(relay.Close)
	peers := []settings.Peer{
		peer(ownerName, relay.Address()), peer(requesterName, listeners[requesterName].Addr().String()),
	}
	owner = start(t, ownerName, listeners[ownerName], peers)
	requester = start(t, requesterName, listeners[requesterName], peers)
	return owner, requester, ownerName, requesterName, relay
}

func (n *node) waitForOwnership(t *testing.T, want balance.Ownership) {
	t.Helper()
	NewWithT(t).Expect(testcluster.Eventually(func() error {
		if got := n.Owners("pool", []string{server})[0]; got != want {
			return errors.Errorf("ownership is %d, want %d", got, want)
		}
		return nil
	})).To(Succeed())
}

func (n *node) waitForCount(t *testing.T, router string, want int) {
	t.Helper()
	NewWithT(t).Expect(testcluster.Eventually(func() error {
		if got := n.granter.reservationsOf(router); got != want {
			return errors.Errorf("%d reservations, want %d", got, want)
		}
		return nil
	})).To(Succeed())
}

// reserve repeats Reserve until the owner answers: on a busy machine an answer may
// exceed the timeout.
func (n *node) reserve(t *testing.T, ignoreLoadBound bool) reservationrpc.Answer {
	t.Helper()
	var out reservationrpc.Answer
	NewWithT(t).Expect(testcluster.Eventually(func() error {
		answer, err := n.Reserve(context.Background(), server, ignoreLoadBound)
		out = answer
		return err
	})).To(Succeed())
	return out
}

// TestOwnerGrantsUpToCapacity guards against grants above the owner's capacity of 2
// and against a released reservation that stays counted. An ungranted reservation
// counts as well.
func TestOwnerGrantsUpToCapacity(t *testing.T) {
	g := NewWithT(t)
	owner, requester, _, name, _ := startPair(t)
	owner.waitForOwnership(t, balance.OwnerSelf)
	requester.waitForOwnership(t, balance.OwnerPeer)
	g.Expect(requester.reserve(t, false)).To(Equal(reservationrpc.Answer{Granted: true, PeerInFlight: 7}))
	g.Expect(requester.reserve(t, false).Granted).To(BeTrue())
	g.Expect(requester.reserve(t, true).Granted).To(BeFalse())
	requester.Release(server)
	owner.waitForCount(t, name, 1)
	g.Expect(requester.reserve(t, false).Granted).To(BeTrue())
	requester.AddUngranted(server)
	owner.waitForCount(t, name, 3)
}

// TestNewStreamReportsHeldReservations guards against an owner that loses its counts
// for good when a stream breaks: a broken stream drops them, Reserve fails, and the
// next stream reports the reservations that are held by then.
func TestNewStreamReportsHeldReservations(t *testing.T) {
	g := NewWithT(t)
	owner, requester, _, name, relay := startPair(t)
	owner.waitForOwnership(t, balance.OwnerSelf)
	requester.waitForOwnership(t, balance.OwnerPeer)
	g.Expect(requester.reserve(t, false).Granted).To(BeTrue())
	relay.Set(testcluster.Refuse, testcluster.Refuse)
	requester.waitForOwnership(t, balance.OwnerNone)
	owner.waitForCount(t, name, 0)
	_, err := requester.Reserve(context.Background(), server, false)
	g.Expect(err).To(MatchError(reservationrpc.ErrNoAnswer))
	requester.AddUngranted(server)
	relay.Set(testcluster.Forward, testcluster.Forward)
	requester.waitForOwnership(t, balance.OwnerPeer)
	owner.waitForCount(t, name, 2)
}

// TestReservationsOfDeadRouterAreDropped guards against slots that stay reserved
// after their router has died. The owner grants again once the router is no longer
// in the list of live routers.
func TestReservationsOfDeadRouterAreDropped(t *testing.T) {
	owner, requester, ownerName, name, _ := startPair(t)
	owner.waitForOwnership(t, balance.OwnerSelf)
	requester.waitForOwnership(t, balance.OwnerPeer)
	requester.reserve(t, false)
	owner.waitForCount(t, name, 1)
	requester.stop()
	owner.waitForCount(t, name, 0)
	// While the router still counts as live, it may have requests in flight that it
	// does not report, so the owner grants nothing.
	owner.waitForOwnership(t, balance.OwnerNone)
	owner.members.set(ownerName)
	owner.waitForOwnership(t, balance.OwnerSelf)
}

// TestReserveTimesOutWhenOwnerIsBlocked guards against requests that wait for a
// blocked owner beyond the timeout, and against a late grant that nobody releases.
func TestReserveTimesOutWhenOwnerIsBlocked(t *testing.T) {
	g := NewWithT(t)
	owner, requester, _, name, _ := startPair(t)
	owner.waitForOwnership(t, balance.OwnerSelf)
	requester.waitForOwnership(t, balance.OwnerPeer)
	blocked := make(chan struct{})
	owner.granter.setBlocked(blocked)
	_, err := requester.Reserve(context.Background(), server, false)
	g.Expect(err).To(MatchError(reservationrpc.ErrNoAnswer))
	owner.granter.setBlocked(nil)
	close(blocked)
	// The reservation that is granted after the timeout is released.
	g.Expect(requester.reserve(t, false).Granted).To(BeTrue())
	owner.waitForCount(t, name, 1)
}

// TestNewOwnerReceivesHeldReservations guards against reservations that are not moved
// when a server's owner changes and changes back.
func TestNewOwnerReceivesHeldReservations(t *testing.T) {
	owner, requester, ownerName, name, _ := startPair(t)
	owner.waitForOwnership(t, balance.OwnerSelf)
	requester.waitForOwnership(t, balance.OwnerPeer)
	requester.reserve(t, false)
	owner.waitForCount(t, name, 1)
	// The requester owns the servers while the owner is not in its list of live
	// routers.
	requester.members.set(name)
	requester.waitForOwnership(t, balance.OwnerSelf)
	owner.waitForCount(t, name, 0)
	requester.members.set(name, ownerName)
	requester.waitForOwnership(t, balance.OwnerPeer)
	owner.waitForCount(t, name, 1)
}
