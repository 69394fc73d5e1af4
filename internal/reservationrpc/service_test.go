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

// fakeMembers lists live routers.
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

// fakeGranter grants up to a capacity on any server.
type fakeGranter struct {
	mu       sync.Mutex
	capacity int
	counts   *reservation.PeerCounts
	// stuck blocks HandleReservation until it is closed; nil does not.
	stuck chan struct{}
}

func (d *fakeGranter) HandleReservation(from string, message reservation.Message) (granted, others int, owned bool) {
	d.mu.Lock()
	stuck := d.stuck
	d.mu.Unlock()
	if stuck != nil {
		<-stuck
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.counts.Set(message.Server, from, message.Held)
	for granted < message.Requested && d.counts.Sum(message.Server) < d.capacity {
		granted++
		d.counts.Set(message.Server, from, message.Held+granted)
	}
	return granted, 7, true
}

func (d *fakeGranter) RouterLost(from string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.counts.Forget(from)
}

func (d *fakeGranter) setStuck(stuck chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stuck = stuck
}

func (d *fakeGranter) of(router string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.counts.Get(server, router)
}

// node is a router's service with its granter.
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
	n := &node{granter: &fakeGranter{capacity: 2, counts: reservation.NewPeerCounts()}, members: &fakeMembers{}}
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

// pair starts two routers and returns the owner of the test's pool and the other
// one, with a relay on the way to the owner.
func pair(t *testing.T) (owner, asker *node, ownerName, askerName string, relay *testcluster.Relay) {
	t.Helper()
	listeners := map[string]net.Listener{"a": listen(t), "b": listen(t)}
	ownerName = reservation.Owner("pool", []string{"a", "b"})
	askerName = map[string]string{"a": "b", "b": "a"}[ownerName]
	relay, err := testcluster.NewRelay(listeners[ownerName].Addr().String())
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(relay.Close)
	peers := []settings.Peer{
		peer(ownerName, relay.Address()), peer(askerName, listeners[askerName].Addr().String()),
	}
	owner = start(t, ownerName, listeners[ownerName], peers)
	asker = start(t, askerName, listeners[askerName], peers)
	return owner, asker, ownerName, askerName, relay
}

func (n *node) waitFor(t *testing.T, want balance.Ownership) {
	t.Helper()
	NewWithT(t).Expect(testcluster.Eventually(func() error {
		if got := n.Owners("pool", []string{server})[0]; got != want {
			return errors.Errorf("ownership %d, not %d", got, want)
		}
		return nil
	})).To(Succeed())
}

func (n *node) waitForCount(t *testing.T, router string, want int) {
	t.Helper()
	NewWithT(t).Expect(testcluster.Eventually(func() error {
		if got := n.granter.of(router); got != want {
			return errors.Errorf("%d places, not %d", got, want)
		}
		return nil
	})).To(Succeed())
}

// ask asks until the owner answers; a busy machine may answer late.
func (n *node) ask(t *testing.T, firm bool) reservationrpc.Answer {
	t.Helper()
	var out reservationrpc.Answer
	NewWithT(t).Expect(testcluster.Eventually(func() error {
		answer, err := n.Reserve(context.Background(), server, firm)
		out = answer
		return err
	})).To(Succeed())
	return out
}

func TestOwnerGrantsAndRefuses(t *testing.T) {
	g := NewWithT(t)
	owner, asker, _, name, _ := pair(t)
	owner.waitFor(t, balance.OwnerSelf)
	asker.waitFor(t, balance.OwnerPeer)
	g.Expect(asker.ask(t, false)).To(Equal(reservationrpc.Answer{Granted: true, PeerInFlight: 7}))
	g.Expect(asker.ask(t, false).Granted).To(BeTrue())
	g.Expect(asker.ask(t, true).Granted).To(BeFalse())
	asker.Release(server)
	owner.waitForCount(t, name, 1)
	g.Expect(asker.ask(t, false).Granted).To(BeTrue())
	asker.AddUngranted(server)
	owner.waitForCount(t, name, 3)
}

func TestNewStreamTellsWhatIsHeld(t *testing.T) {
	g := NewWithT(t)
	owner, asker, _, name, relay := pair(t)
	owner.waitFor(t, balance.OwnerSelf)
	asker.waitFor(t, balance.OwnerPeer)
	g.Expect(asker.ask(t, false).Granted).To(BeTrue())
	relay.Set(testcluster.Refuse, testcluster.Refuse)
	asker.waitFor(t, balance.OwnerNone)
	owner.waitForCount(t, name, 0)
	_, err := asker.Reserve(context.Background(), server, false)
	g.Expect(err).To(MatchError(reservationrpc.ErrNoAnswer))
	asker.AddUngranted(server)
	relay.Set(testcluster.Forward, testcluster.Forward)
	asker.waitFor(t, balance.OwnerPeer)
	owner.waitForCount(t, name, 2)
}

func TestPlacesOfADeadRouterVanish(t *testing.T) {
	owner, asker, ownerName, name, _ := pair(t)
	owner.waitFor(t, balance.OwnerSelf)
	asker.waitFor(t, balance.OwnerPeer)
	asker.ask(t, false)
	owner.waitForCount(t, name, 1)
	asker.stop()
	owner.waitForCount(t, name, 0)
	// Until the router counts as dead, its work may go on unseen.
	owner.waitFor(t, balance.OwnerNone)
	owner.members.set(ownerName)
	owner.waitFor(t, balance.OwnerSelf)
}

func TestAnOwnerThatIsStuckIsNotWaitedFor(t *testing.T) {
	g := NewWithT(t)
	owner, asker, _, name, _ := pair(t)
	owner.waitFor(t, balance.OwnerSelf)
	asker.waitFor(t, balance.OwnerPeer)
	stuck := make(chan struct{})
	owner.granter.setStuck(stuck)
	_, err := asker.Reserve(context.Background(), server, false)
	g.Expect(err).To(MatchError(reservationrpc.ErrNoAnswer))
	owner.granter.setStuck(nil)
	close(stuck)
	// The place that is granted too late is given back.
	g.Expect(asker.ask(t, false).Granted).To(BeTrue())
	owner.waitForCount(t, name, 1)
}

func TestANewOwnerLearnsWhatIsHeld(t *testing.T) {
	owner, asker, ownerName, name, _ := pair(t)
	owner.waitFor(t, balance.OwnerSelf)
	asker.waitFor(t, balance.OwnerPeer)
	asker.ask(t, false)
	owner.waitForCount(t, name, 1)
	// The asker owns the servers while it takes the owner for dead.
	asker.members.set(name)
	asker.waitFor(t, balance.OwnerSelf)
	owner.waitForCount(t, name, 0)
	asker.members.set(name, ownerName)
	asker.waitFor(t, balance.OwnerPeer)
	owner.waitForCount(t, name, 1)
}
