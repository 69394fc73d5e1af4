package balance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/balance"
	"peridotwinch.example/peridotwinch/internal/settings"
)

func TestBalance(t *testing.T) {
	RegisterFailHandler(Fail)
	suite, reporter := GinkgoConfiguration()
	suite.RandomSeed = 1
	RunSpecs(t, "balance", suite, reporter)
}

var start = time.Unix(1000, 0)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

func newServers(count, slots int) []balance.Server {
	list := make([]balance.Server, count)
	for i := range list {
		list[i] = balance.Server{ID: serverID(i), Incarnation: 1, Slots: slots}
	}
	return list
}

func serverID(i int) balance.ServerID { return balance.ServerID(fmt.Sprintf("127.0.0.1:%d", 9000+i)) }

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func singleRouterView(servers []balance.Server) *balance.View {
	return balance.NewView(servers, 0, balance.RouterRank{Count: 1})
}

func chatRequest(i int) balance.Request {
	return balance.Request{Chat: fmt.Sprintf("chat-%d", i), Class: api.ClassShort, Customer: "c"}
}

var _ = Describe("Hint", func() {
	It("preserves server and incarnation when formatted and parsed", func() {
		id, incarnation := balance.ParseHint(balance.FormatHint("127.0.0.1:9000", 77))
		Expect(id).To(Equal(balance.ServerID("127.0.0.1:9000")))
		Expect(incarnation).To(Equal(uint64(77)))
	})

	It("returns an empty server for an invalid header", func() {
		id, _ := balance.ParseHint("127.0.0.1:9000#???")
		Expect(id).To(BeEmpty())
	})
})

var _ = Describe("Bounded", func() {
	var policy *balance.Bounded

	BeforeEach(func() { policy = balance.NewBounded(newRandom()) })

	// otherServer returns a server that does not rank first for the chat.
	otherServer := func(view *balance.View, request balance.Request) balance.ServerID {
		first, _ := policy.Pick(at(0), request, view)
		policy.Done(at(0), request, first, balance.Result{})
		for i := range view.Len() {
			if serverID(i) != first {
				return serverID(i)
			}
		}
		return ""
	}

	It("picks the hinted server only while it has the hinted incarnation", func() {
		view := singleRouterView(newServers(8, 16))
		request := chatRequest(1)
		request.Hint = otherServer(view, request)
		request.HintIncarnation = 1
		id, ok := policy.Pick(at(1), request, view)
		Expect(ok).To(BeTrue())
		Expect(id).To(Equal(request.Hint))
		request.HintIncarnation = 2
		id, ok = policy.Pick(at(1), request, view)
		Expect(ok).To(BeTrue())
		Expect(id).NotTo(Equal(request.Hint))
	})

	It("never picks an excluded server or a server without a free slot", func() {
		view := singleRouterView(newServers(2, 1))
		request := chatRequest(1)
		request.Exclude = []balance.ServerID{serverID(0)}
		id, _ := policy.Pick(at(0), request, view)
		Expect(id).To(Equal(serverID(1)))
		_, ok := policy.Pick(at(0), request, view)
		Expect(ok).To(BeFalse())
	})

	It("places consecutive requests of a chat on the same server", func() {
		view := singleRouterView(newServers(20, 64))
		counts := map[balance.ServerID]int{}
		for range 100 {
			id, ok := policy.Pick(at(0), chatRequest(1), view)
			Expect(ok).To(BeTrue())
			counts[id]++
			policy.Done(at(0), chatRequest(1), id, balance.Result{})
		}
		Expect(counts).To(HaveLen(1))
	})

	It("limits long requests to their share of the servers and of the slots", func() {
		view := singleRouterView(newServers(10, 8))
		taken := map[balance.ServerID]int{}
		for i := range 80 {
			request := chatRequest(i)
			request.Class = api.ClassLong
			if id, ok := policy.Pick(at(0), request, view); ok {
				taken[id]++
			}
		}
		Expect(len(taken)).To(BeNumerically("<=", 5))
		for _, count := range taken {
			Expect(count).To(BeNumerically("<=", 4))
		}
		_, ok := policy.Pick(at(0), chatRequest(1), view)
		Expect(ok).To(BeTrue())
	})

	It("places few chats on a new server and more as it warms up", func() {
		list := newServers(10, 64)
		list[0].Since = at(0)
		view := singleRouterView(list)
		countOnNewServer := func(now time.Time) int {
			count := 0
			for i := range 2000 {
				id, _ := policy.Pick(now, chatRequest(i), view)
				policy.Done(now, chatRequest(i), id, balance.Result{})
				if id == serverID(0) {
					count++
				}
			}
			return count
		}
		cold, warm := countOnNewServer(at(0)), countOnNewServer(at(20))
		Expect(cold).To(BeNumerically("<", 50))
		Expect(warm).To(BeNumerically(">", 150))
	})

	It("ejects slow servers, but at most a fifth of all servers", func() {
		view := singleRouterView(newServers(10, 64))
		for round := range 200 {
			now := at(float64(round) * 0.1)
			for i := range 10 {
				id, _ := policy.Pick(now, chatRequest(10*round+i), view)
				firstByte := 100 * time.Millisecond
				if id == serverID(0) || id == serverID(1) || id == serverID(2) {
					firstByte = time.Second
				}
				policy.Done(now, chatRequest(10*round+i), id, balance.Result{FirstByte: firstByte})
			}
		}
		picked := map[balance.ServerID]bool{}
		for i := range 500 {
			id, _ := policy.Pick(at(20), chatRequest(i), view)
			policy.Done(at(20), chatRequest(i), id, balance.Result{})
			picked[id] = true
		}
		Expect(len(picked)).To(BeNumerically(">=", 8))
		Expect(len(picked)).To(BeNumerically("<", 10))
	})

	DescribeTable("ejects a server after fewer results the slower it is", func(firstByte time.Duration, results int, ejected bool) {
		view := singleRouterView(newServers(10, 64))
		pick := func(now time.Time) balance.ServerID {
			id, _ := policy.Pick(now, chatRequest(1), view)
			policy.Done(now, chatRequest(1), id, balance.Result{})
			return id
		}
		firstChoice := pick(at(0))
		for i := range 10 {
			if serverID(i) != firstChoice {
				policy.FirstByte(at(0), chatRequest(1), serverID(i), 50*time.Millisecond)
			}
		}
		for range results {
			policy.FirstByte(at(0), chatRequest(1), firstChoice, firstByte)
		}
		Expect(pick(at(1)) != firstChoice).To(Equal(ejected))
	},
		Entry("twelve times the median, one result", 600*time.Millisecond, 1, true),
		Entry("five times the median, one result", 250*time.Millisecond, 1, false),
		Entry("five times the median, two results", 250*time.Millisecond, 2, true),
		Entry("twice the median, nine results", 100*time.Millisecond, 9, false),
	)

	It("ejects a server by its times to the first byte and readmits it with one request at a time", func() {
		view := singleRouterView(newServers(10, 64))
		firstByteOf := func(id balance.ServerID) time.Duration {
			if id == serverID(0) {
				return time.Second
			}
			return 100 * time.Millisecond
		}
		for i := range 400 {
			now := at(float64(i) * 0.01)
			id, _ := policy.Pick(now, chatRequest(i), view)
			policy.FirstByte(now, chatRequest(i), id, firstByteOf(id))
		}
		countOnSlowServer := func(now time.Time) int {
			count := 0
			for i := range 100 {
				if id, _ := policy.Pick(now, chatRequest(1000+i), view); id == serverID(0) {
					count++
				}
			}
			return count
		}
		Expect(countOnSlowServer(at(4.5))).To(BeZero())
		for i := range 400 {
			policy.Done(at(4.6), chatRequest(i), serverID(i%10), balance.Result{})
		}
		for range 100 {
			policy.Done(at(4.6), chatRequest(0), serverID(0), balance.Result{})
		}
		Expect(countOnSlowServer(at(30))).To(Equal(1))
	})

	It("keeps a server's total load within the bound by the other routers' reports", func() {
		list := newServers(10, 64)
		for i := range list {
			list[i].PeerInFlight, list[i].PeerInFlightAt = 10, at(0)
		}
		list[3].PeerInFlight = 40
		view := balance.NewView(list, 0, balance.RouterRank{Rank: 1, Count: 15})
		for i := range 20 {
			id, ok := policy.Pick(at(1), chatRequest(i), view)
			Expect(ok).To(BeTrue())
			Expect(id).NotTo(Equal(serverID(3)))
		}
	})

	It("limits a server to this router's share if the other routers' reports are stale", func() {
		list := newServers(10, 64)
		for i := range list {
			list[i].PeerInFlight, list[i].PeerInFlightAt = 10, at(0)
		}
		view := balance.NewView(list, 0, balance.RouterRank{Rank: 1, Count: 15})
		first, _ := policy.Pick(at(10), chatRequest(1), view)
		second, _ := policy.Pick(at(10), chatRequest(1), view)
		Expect(second).NotTo(Equal(first))
	})

	It("keeps the total load within the bound if routers have equal shares of the requests", func() {
		for seed := range uint64(200) {
			random := rand.New(rand.NewPCG(seed, 1))
			routers, count, mean := 1+random.IntN(15), 3+random.IntN(40), 2+random.IntN(20)
			perRouter := (count*mean + routers - 1) / routers
			load := placeRequests(random, routers, count, perRouter*routers)
			limit := int(balance.DefaultLoadBound*float64(perRouter*routers)/float64(count) + 1)
			for id, inFlight := range load {
				Expect(inFlight).To(BeNumerically("<=", limit), "seed %d, %s, %d routers, %d servers, mean %d", seed, id, routers, count, mean)
			}
		}
	})
})

// placeRequests places total requests, a third of them of three hot chats, through the
// routers in turn and returns the load of each server.
func placeRequests(random *rand.Rand, routers, count, total int) map[balance.ServerID]int {
	policies := make([]*balance.Bounded, routers)
	views := make([]*balance.View, routers)
	for r := range policies {
		policies[r] = balance.NewBounded(random)
		views[r] = balance.NewView(newServers(count, 1000), 0, balance.RouterRank{Rank: r, Count: routers})
	}
	load := map[balance.ServerID]int{}
	for i := range total {
		request := chatRequest(random.IntN(100000))
		if random.IntN(3) == 0 {
			request = chatRequest(random.IntN(3))
		}
		id, _ := policies[i%routers].Pick(at(0), request, views[i%routers])
		load[id]++
	}
	return load
}

var _ = Describe("New", func() {
	It("returns a balancer for every policy and an error for an unknown policy", func() {
		for _, policy := range settings.Policies {
			balancer, err := balance.New(policy, newRandom())
			Expect(err).NotTo(HaveOccurred())
			view := singleRouterView(newServers(3, 2))
			for i := range 6 {
				_, ok := balancer.Pick(at(0), chatRequest(i), view)
				Expect(ok).To(BeTrue(), string(policy))
			}
			_, ok := balancer.Pick(at(0), chatRequest(7), view)
			Expect(ok).To(BeFalse(), string(policy))
		}
		_, err := balance.New("best", newRandom())
		Expect(err).To(HaveOccurred())
	})
})

var _ = Describe("Budget", func() {
	It("grants a share of the first attempts, so that retries do not amplify an overload", func() {
		budget := balance.NewRetryBudget(at(0))
		granted := 0
		for range 1000 {
			budget.Earn()
			if budget.Spend(at(0)) {
				granted++
			}
		}
		Expect(granted).To(BeNumerically("<=", 110))
		Expect(granted).To(BeNumerically(">=", 100))
		Expect(budget.Spend(at(0))).To(BeFalse())
		Expect(budget.Spend(at(10))).To(BeTrue())
	})
})

func BenchmarkPick(b *testing.B) {
	for _, count := range []int{167, 1000} {
		b.Run(fmt.Sprintf("servers=%d", count), func(b *testing.B) {
			policy := balance.NewBounded(newRandom())
			view := balance.NewView(newServers(count, 64), 0, balance.RouterRank{Rank: 3, Count: 15})
			b.ReportAllocs()
			for i := range b.N {
				request := balance.Request{Chat: "chat", Class: api.ClassShort}
				now := at(float64(i) * 1e-5)
				id, _ := policy.Pick(now, request, view)
				policy.Done(now, request, id, balance.Result{FirstByte: time.Millisecond})
			}
		})
	}
}
