package dispatch_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/balance"
	"peridotwinch.example/peridotwinch/internal/catalog"
	"peridotwinch.example/peridotwinch/internal/dispatch"
	"peridotwinch.example/peridotwinch/internal/membership"
	"peridotwinch.example/peridotwinch/internal/ratelimit"
)

func TestDispatch(t *testing.T) {
	RegisterFailHandler(Fail)
	suite, reporter := GinkgoConfiguration()
	suite.RandomSeed = 1
	RunSpecs(t, "dispatch", suite, reporter)
}

// source is a membership table that the tests modify.
type source struct {
	mu      sync.Mutex
	version uint64
	servers []membership.Server
}

func (s *source) Servers() []membership.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.servers
}

func (s *source) Version() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

func (s *source) set(servers ...membership.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.servers = servers
	s.version++
}

// remoteSource is a source that also has summaries of other failure domains.
type remoteSource struct {
	source
	summaries []membership.PoolSummary
}

func (s *remoteSource) Summaries() []membership.PoolSummary { return s.summaries }

func server(i, slots int, state api.ServerState) membership.Server {
	return membership.Server{Announcement: api.Announcement{
		Address: fmt.Sprintf("127.0.0.1:%d", 9000+i), Incarnation: 1, Sequence: 1,
		Pool: "chat", Models: []string{"swahili"}, State: state, Slots: slots,
	}}
}

func newCatalog() (*catalog.Catalog, catalog.Pool) {
	spec, err := json.Marshal(&api.PoolSpec{Protocol: api.ProtocolChat})
	Expect(err).NotTo(HaveOccurred())
	view := catalog.New(1, map[string]*api.Resource{
		"uid": {Kind: api.KindPools, UID: "uid", Names: api.Names{"engine": "chat"}, Spec: spec},
	})
	pool, ok := view.Pool("chat")
	Expect(ok).To(BeTrue())
	return view, pool
}

var _ = Describe("Dispatcher", func() {
	var (
		members *source
		d       *dispatch.Dispatcher
		view    *catalog.Catalog
		pool    catalog.Pool
		ctx     context.Context
	)
	short := balance.Request{Customer: "a", Class: api.ClassShort}

	BeforeEach(func() {
		members = &source{}
		view, pool = newCatalog()
		d = dispatch.New(members, func() balance.Balancer {
			return balance.NewBounded(rand.New(rand.NewPCG(1, 2)))
		}, dispatch.WithQueueTimeout(time.Hour))
		runCtx, cancel := context.WithCancel(context.Background())
		ctx = runCtx
		dispatcher := d
		DeferCleanup(cancel)
		go func() { _ = dispatcher.Run(runCtx) }()
	})

	acquire := func(request balance.Request) (*dispatch.Lease, error) {
		return d.Acquire(ctx, view, pool, "swahili", request)
	}
	acquireInBackground := func(request balance.Request) chan *dispatch.Lease {
		leases := make(chan *dispatch.Lease, 1)
		go func() {
			defer GinkgoRecover()
			lease, err := acquire(request)
			Expect(err).NotTo(HaveOccurred())
			leases <- lease
		}()
		return leases
	}
	expectNotRun := func(err error, code api.Code) {
		GinkgoHelper()
		Expect(err).To(HaveOccurred())
		Expect(api.AsError(err).Code).To(Equal(code))
		Expect(api.AsError(err).Outcome).To(Equal(api.OutcomeNotRun))
	}

	It("refuses a request if no server has loaded its model", func() {
		_, err := acquire(short)
		expectNotRun(err, api.CodeNoBackendServer)
		members.set(server(1, 4, api.ServerServing))
		_, err = d.Acquire(ctx, view, pool, "english", short)
		expectNotRun(err, api.CodeNoBackendServer)
	})

	It("stops sending requests to a server as soon as the table lists it as draining", func() {
		members.set(server(1, 4, api.ServerServing), server(2, 4, api.ServerServing))
		_, err := acquire(short)
		Expect(err).NotTo(HaveOccurred())
		members.set(server(1, 4, api.ServerDraining), server(2, 4, api.ServerServing))
		for range 4 {
			lease, err := acquire(short)
			Expect(err).NotTo(HaveOccurred())
			Expect(lease.Server).To(Equal(balance.ServerID("127.0.0.1:9002")))
			Expect(lease.Incarnation).To(Equal(uint64(1)))
			lease.Release(balance.Result{})
		}
	})

	It("sends no request to an incarnation that has stated that it is leaving, whatever the table lists", func() {
		members.set(server(1, 4, api.ServerServing))
		lease, err := acquire(short)
		Expect(err).NotTo(HaveOccurred())
		Expect(lease.RecordStatement(true, 0)).To(Equal(dispatch.Statement{Leaving: true}))
		Expect(lease.RecordStatement(true, 0)).To(Equal(dispatch.Statement{}))
		_, err = acquire(short)
		expectNotRun(err, api.CodeNoBackendServer)
		members.set()
		members.set(server(1, 4, api.ServerServing))
		_, err = acquire(short)
		expectNotRun(err, api.CodeNoBackendServer)
		restarted := server(1, 4, api.ServerServing)
		restarted.Incarnation++
		members.set(restarted)
		_, err = acquire(short)
		Expect(err).NotTo(HaveOccurred())
	})

	It("sends no request to a server during the pause that it wants, and tells callers when there is room", func() {
		members.set(server(1, 1, api.ServerServing), server(2, 1, api.ServerServing))
		first, err := acquire(short)
		Expect(err).NotTo(HaveOccurred())
		second, err := acquire(short)
		Expect(err).NotTo(HaveOccurred())
		queued := acquireInBackground(short)
		Consistently(queued, "100ms").ShouldNot(Receive())
		Expect(first.RecordStatement(false, 400*time.Millisecond)).To(Equal(dispatch.Statement{Paused: true}))
		first.Release(balance.Result{})
		Consistently(queued, "200ms").ShouldNot(Receive(), "the slot is free, but the server is paused")
		second.RecordStatement(false, 30*time.Second)
		_, err = acquire(short)
		expectNotRun(err, api.CodeOverloaded)
		Expect(api.AsError(err).RetryAfterMS).To(And(BeNumerically(">", 10), BeNumerically("<", 400)))
		second.Release(balance.Result{})
		var lease *dispatch.Lease
		Eventually(queued, "60s").Should(Receive(&lease), "after the first pause")
		Expect(lease.Server).To(Equal(first.Server))
	})

	It("sends a server that limits its rate no more than this router's share, until an answer names no limit", func() {
		members.set(server(1, 64, api.ServerServing))
		lease, err := acquire(short)
		Expect(err).NotTo(HaveOccurred())
		Expect(lease.RecordRate(ratelimit.Statement{PerSecond: 0.5, Limited: true})).To(BeTrue())
		Expect(lease.RecordRate(ratelimit.Statement{PerSecond: 0.5, Limited: true})).To(BeFalse())
		granted := 0
		for range 50 {
			if _, err = acquire(short); err == nil {
				granted++
			}
		}
		Expect(granted).To(BeNumerically("<=", 7))
		expectNotRun(err, api.CodeOverloaded)
		Expect(api.AsError(err).RetryAfterMS).To(BeNumerically(">", 100))
		members.set(server(1, 64, api.ServerServing), server(2, 64, api.ServerServing))
		for range 20 {
			other, err := acquire(short)
			Expect(err).NotTo(HaveOccurred())
			Expect(other.Server).NotTo(Equal(lease.Server))
		}
		members.set(server(1, 64, api.ServerServing))
		Expect(lease.RecordRate(ratelimit.Statement{})).To(BeTrue())
		for range 20 {
			_, err := acquire(short)
			Expect(err).NotTo(HaveOccurred())
		}
	})

	It("grants a queued request the slot that another request releases", func() {
		members.set(server(1, 1, api.ServerServing))
		first, err := acquire(short)
		Expect(err).NotTo(HaveOccurred())
		leases := acquireInBackground(short)
		Consistently(leases, "100ms").ShouldNot(Receive())
		first.Release(balance.Result{})
		Eventually(leases, "60s").Should(Receive())
	})

	It("grants a queued request a slot of a server that joins", func() {
		members.set(server(1, 1, api.ServerServing))
		_, err := acquire(short)
		Expect(err).NotTo(HaveOccurred())
		leases := acquireInBackground(short)
		members.set(server(1, 1, api.ServerServing), server(2, 1, api.ServerServing))
		Eventually(leases, "60s").Should(Receive())
	})

	It("refuses a request that is canceled in the queue as not run, and keeps no slot for it", func() {
		members.set(server(1, 1, api.ServerServing))
		first, err := acquire(short)
		Expect(err).NotTo(HaveOccurred())
		canceled, cancel := context.WithCancel(ctx)
		cancel()
		_, err = d.Acquire(canceled, view, pool, "swahili", short)
		expectNotRun(err, api.CodeOverloaded)
		first.Release(balance.Result{})
		_, err = acquire(short)
		Expect(err).NotTo(HaveOccurred())
	})

	It("refuses a request whose deadline passes in the queue", func() {
		members.set(server(1, 1, api.ServerServing))
		_, err := acquire(short)
		Expect(err).NotTo(HaveOccurred())
		urgent := short
		urgent.FirstByteWithin = 20 * time.Millisecond
		_, err = acquire(urgent)
		expectNotRun(err, api.CodeOverloaded)
	})

	It("overflows to the failure domain with the most free slots, up to their number and only once per request", func() {
		remote := &remoteSource{summaries: []membership.PoolSummary{
			{Domain: "full", Pool: "chat", Servers: 2, Slots: 20, Load: 19, Callers: []string{"127.0.0.1:1"}},
			{Domain: "other", Pool: "services", Servers: 2, Slots: 99, Load: 0, Callers: []string{"127.0.0.1:2"}},
			{Domain: "free", Pool: "chat", Servers: 1, Slots: 10, Load: 6, Callers: []string{"127.0.0.1:3", "127.0.0.1:4"}},
		}}
		d = dispatch.New(remote, func() balance.Balancer { return balance.NewBounded(rand.New(rand.NewPCG(1, 2))) })
		first, err := acquire(short)
		Expect(err).NotTo(HaveOccurred())
		Expect(first.Remote).To(BeTrue())
		second, err := acquire(short)
		Expect(err).NotTo(HaveOccurred())
		Expect([]balance.ServerID{first.Server, second.Server}).To(ConsistOf(balance.ServerID("127.0.0.1:3"), balance.ServerID("127.0.0.1:4")))
		_, err = acquire(short)
		expectNotRun(err, api.CodeNoBackendServer)
		second.Release(balance.Result{})
		overflowed := short
		overflowed.NoOverflow = true
		_, err = acquire(overflowed)
		expectNotRun(err, api.CodeNoBackendServer)
		_, err = acquire(short)
		Expect(err).NotTo(HaveOccurred())
	})

	It("overflows before it queues a request", func() {
		remote := &remoteSource{summaries: []membership.PoolSummary{
			{Domain: "free", Pool: "chat", Servers: 1, Slots: 10, Load: 1, Callers: []string{"127.0.0.1:3"}},
		}}
		remote.set(server(1, 1, api.ServerServing))
		d = dispatch.New(remote, func() balance.Balancer { return balance.NewBounded(rand.New(rand.NewPCG(1, 2))) },
			dispatch.WithQueueTimeout(time.Hour))
		local, err := acquire(short)
		Expect(err).NotTo(HaveOccurred())
		Expect(local.Remote).To(BeFalse())
		var lease *dispatch.Lease
		Eventually(acquireInBackground(short), "60s").Should(Receive(&lease))
		Expect(lease.Remote).To(BeTrue())
		local.Release(balance.Result{})
		local, err = acquire(short)
		Expect(err).NotTo(HaveOccurred())
		Expect(local.Remote).To(BeFalse())
	})

	It("loses no slot under concurrent use", func() {
		members.set(server(1, 3, api.ServerServing), server(2, 3, api.ServerServing))
		var group sync.WaitGroup
		for i := range 200 {
			group.Go(func() {
				request := short
				request.Customer = fmt.Sprint(i % 7)
				if i%5 == 0 {
					request.Class = api.ClassLong
				}
				if lease, err := acquire(request); err == nil {
					lease.Release(balance.Result{FirstByte: time.Millisecond})
				}
			})
		}
		group.Wait()
		for range 6 {
			_, err := acquire(short)
			Expect(err).NotTo(HaveOccurred())
		}
	})
})
