package dispatch_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/balance"
	"peridotwinch.example/peridotwinch/internal/catalog"
	"peridotwinch.example/peridotwinch/internal/dispatch"
	"peridotwinch.example/peridotwinch/internal/reservation"
	"peridotwinch.example/peridotwinch/internal/reservationrpc"
)

// fakeOwners implements dispatch.Reservations in place of the owners of all servers.
type fakeOwners struct {
	mu        sync.Mutex
	ownership balance.Ownership
	// free is the number of reservations that the owner of each server can still grant.
	free      map[string]int
	err       error
	requested []string
	held      int
}

func (f *fakeOwners) Owners(_ string, servers []string) []balance.Ownership {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]balance.Ownership, len(servers))
	for i := range out {
		out[i] = f.ownership
	}
	return out
}

func (f *fakeOwners) Reserve(_ context.Context, server string, ignoreLoadBound bool) (reservationrpc.Answer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requested = append(f.requested, server)
	if f.err != nil {
		return reservationrpc.Answer{}, f.err
	}
	if f.free[server] == 0 {
		return reservationrpc.Answer{PeerInFlight: 2}, nil
	}
	f.free[server]--
	f.held++
	return reservationrpc.Answer{Granted: true}, nil
}

func (f *fakeOwners) AddUngranted(string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.held++
}

func (f *fakeOwners) Release(server string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.held--
	f.free[server]++
}

func (f *fakeOwners) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fakeOwners) count() (held, requested int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.held, len(f.requested)
}

var _ = Describe("Dispatcher with reservations", func() {
	const first, second = "127.0.0.1:9001", "127.0.0.1:9002"
	var (
		owners *fakeOwners
		d      *dispatch.Dispatcher
		view   *catalog.Catalog
		pool   catalog.Pool
		ctx    context.Context
	)
	short := balance.Request{Customer: "a", Class: api.ClassShort}

	BeforeEach(func() {
		members := &source{}
		members.set(server(1, 4, api.ServerServing), server(2, 4, api.ServerServing))
		view, pool = newCatalog()
		d = dispatch.New(members, func() balance.Balancer {
			return balance.NewBounded(rand.New(rand.NewPCG(1, 2)))
		}, dispatch.WithQueueTimeout(time.Hour))
		owners = &fakeOwners{ownership: balance.OwnerPeer, free: map[string]int{}}
		d.SetReservations(owners, func() *catalog.Catalog { return view })
		runCtx, cancel := context.WithCancel(context.Background())
		ctx = runCtx
		dispatcher := d
		DeferCleanup(cancel)
		go func() { _ = dispatcher.Run(runCtx) }()
	})

	acquire := func() (*dispatch.Lease, error) { return d.Acquire(ctx, view, pool, "swahili", short) }

	It("leases the server whose owner grants a reservation, and releases the reservation once", func() {
		owners.free[second] = 1
		lease, err := acquire()
		Expect(err).NotTo(HaveOccurred())
		Expect(lease.Server).To(Equal(balance.ServerID(second)))
		lease.Release(balance.Result{})
		held, _ := owners.count()
		Expect(held).To(BeZero())
		Expect(owners.free[second]).To(Equal(1))
	})

	It("queues a request while all owners refuse, until one grants a reservation", func() {
		leases := make(chan *dispatch.Lease, 1)
		go func() {
			defer GinkgoRecover()
			lease, err := acquire()
			Expect(err).NotTo(HaveOccurred())
			leases <- lease
		}()
		Eventually(func() int { _, requested := owners.count(); return requested }, "60s").Should(BeNumerically(">", 3))
		Expect(leases).NotTo(Receive())
		owners.set(func() { owners.free[first] = 1 })
		Eventually(leases, "60s").Should(Receive())
	})

	It("refuses a request for which no owner grants a reservation as not run", func() {
		urgent := short
		urgent.FirstByteWithin = 20 * time.Millisecond
		_, err := d.Acquire(ctx, view, pool, "swahili", urgent)
		Expect(api.AsError(err).Code).To(Equal(api.CodeOverloaded))
		Expect(api.AsError(err).Outcome).To(Equal(api.OutcomeNotRun))
	})

	It("uses its own share of the slots if the owner does not answer, and counts the ungranted reservation", func() {
		owners.err = reservationrpc.ErrNoAnswer
		lease, err := acquire()
		Expect(err).NotTo(HaveOccurred())
		held, requested := owners.count()
		Expect(held).To(Equal(1))
		Expect(requested).To(Equal(1))
		lease.Release(balance.Result{})
		held, _ = owners.count()
		Expect(held).To(BeZero())
	})

	It("grants other routers no more reservations than slots, and none on servers that it does not own", func() {
		_, _, owned := d.HandleReservation("b", reservation.Message{Server: first, Requested: 1})
		Expect(owned).To(BeFalse())
		owners.set(func() { owners.ownership = balance.OwnerSelf })
		Eventually(func() bool {
			_, _, owned := d.HandleReservation("b", reservation.Message{Server: first})
			return owned
		}, "60s").Should(BeTrue())
		granted, peerInFlight, _ := d.HandleReservation("b", reservation.Message{Server: first, Held: 1, Requested: 9, IgnoringLoadBound: 9})
		Expect(granted).To(Equal(3))
		Expect(peerInFlight).To(BeZero())
		granted, peerInFlight, _ = d.HandleReservation("c", reservation.Message{Server: first, Requested: 1, IgnoringLoadBound: 1})
		Expect(granted).To(BeZero())
		Expect(peerInFlight).To(Equal(4))
		lease, err := acquire()
		Expect(err).NotTo(HaveOccurred())
		Expect(lease.Server).To(Equal(balance.ServerID(second)))
		d.RouterLost("b")
		granted, _, _ = d.HandleReservation("c", reservation.Message{Server: first, Requested: 1, IgnoringLoadBound: 1})
		Expect(granted).To(Equal(1))
	})
})
