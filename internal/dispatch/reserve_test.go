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

// fakeOwners answers for the owners of all servers.
type fakeOwners struct {
	mu        sync.Mutex
	ownership balance.Ownership
	// free counts the places that the owner of a server still grants.
	free  map[string]int
	err   error
	asked []string
	held  int
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

func (f *fakeOwners) Reserve(_ context.Context, server string, firm bool) (reservationrpc.Answer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asked = append(f.asked, server)
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

func (f *fakeOwners) count() (held, asked int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.held, len(f.asked)
}

var _ = Describe("Reserving dispatcher", func() {
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
		}, dispatch.WithQueueLimit(time.Hour))
		owners = &fakeOwners{ownership: balance.OwnerPeer, free: map[string]int{}}
		d.SetReservations(owners, func() *catalog.Catalog { return view })
		own, cancel := context.WithCancel(context.Background())
		ctx = own
		dispatcher := d
		DeferCleanup(cancel)
		go func() { _ = dispatcher.Run(own) }()
	})

	acquire := func() (*dispatch.Lease, error) { return d.Acquire(ctx, view, pool, "swahili", short) }

	It("takes the server whose owner grants a place, and gives it back once", func() {
		owners.free[second] = 1
		lease, err := acquire()
		Expect(err).NotTo(HaveOccurred())
		Expect(lease.Server).To(Equal(balance.ServerID(second)))
		lease.Release(balance.Result{})
		held, _ := owners.count()
		Expect(held).To(BeZero())
		Expect(owners.free[second]).To(Equal(1))
	})

	It("waits while all owners refuse, and goes on when one has a place", func() {
		got := make(chan *dispatch.Lease, 1)
		go func() {
			defer GinkgoRecover()
			lease, err := acquire()
			Expect(err).NotTo(HaveOccurred())
			got <- lease
		}()
		Eventually(func() int { _, asked := owners.count(); return asked }, "60s").Should(BeNumerically(">", 3))
		Expect(got).NotTo(Receive())
		owners.set(func() { owners.free[first] = 1 })
		Eventually(got, "60s").Should(Receive())
	})

	It("refuses a request that no owner had a place for as not run", func() {
		hurried := short
		hurried.FirstByteWithin = 20 * time.Millisecond
		_, err := d.Acquire(ctx, view, pool, "swahili", hurried)
		Expect(api.AsError(err).Code).To(Equal(api.CodeOverloaded))
		Expect(api.AsError(err).Outcome).To(Equal(api.OutcomeNotRun))
	})

	It("goes on by its own share where the owner does not answer, and tells it", func() {
		owners.err = reservationrpc.ErrNoAnswer
		lease, err := acquire()
		Expect(err).NotTo(HaveOccurred())
		held, asked := owners.count()
		Expect(held).To(Equal(1))
		Expect(asked).To(Equal(1))
		lease.Release(balance.Result{})
		held, _ = owners.count()
		Expect(held).To(BeZero())
	})

	It("grants others no more than the slots, and nothing on servers that it does not own", func() {
		_, _, owned := d.HandleReservation("b", reservation.Message{Server: first, Requested: 1})
		Expect(owned).To(BeFalse())
		owners.set(func() { owners.ownership = balance.OwnerSelf })
		Eventually(func() bool {
			_, _, owned := d.HandleReservation("b", reservation.Message{Server: first})
			return owned
		}, "60s").Should(BeTrue())
		granted, others, _ := d.HandleReservation("b", reservation.Message{Server: first, Held: 1, Requested: 9, IgnoringBound: 9})
		Expect(granted).To(Equal(3))
		Expect(others).To(BeZero())
		granted, others, _ = d.HandleReservation("c", reservation.Message{Server: first, Requested: 1, IgnoringBound: 1})
		Expect(granted).To(BeZero())
		Expect(others).To(Equal(4))
		lease, err := acquire()
		Expect(err).NotTo(HaveOccurred())
		Expect(lease.Server).To(Equal(balance.ServerID(second)))
		d.RouterLost("b")
		granted, _, _ = d.HandleReservation("c", reservation.Message{Server: first, Requested: 1, IgnoringBound: 1})
		Expect(granted).To(Equal(1))
	})
})
