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

func servers(count, slots int) []balance.Server {
	out := make([]balance.Server, count)
	for i := range out {
		out[i] = balance.Server{ID: serverID(i), Incarnation: 1, Slots: slots}
	}
	return out
}

func serverID(i int) balance.ServerID { return balance.ServerID(fmt.Sprintf("127.0.0.1:%d", 9000+i)) }

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func single(all []balance.Server) *balance.View {
	return balance.NewView(all, 0, balance.RouterRank{Count: 1})
}

func chat(i int) balance.Request {
	return balance.Request{Chat: fmt.Sprintf("chat-%d", i), Class: api.ClassShort, Customer: "c"}
}

var _ = Describe("Hint", func() {
	It("keeps server and incarnation", func() {
		id, incarnation := balance.ParseHint(balance.FormatHint("127.0.0.1:9000", 77))
		Expect(id).To(Equal(balance.ServerID("127.0.0.1:9000")))
		Expect(incarnation).To(Equal(uint64(77)))
	})

	It("ignores a header that is not valid", func() {
		id, _ := balance.ParseHint("127.0.0.1:9000#???")
		Expect(id).To(BeEmpty())
	})
})

var _ = Describe("Bounded", func() {
	var policy *balance.Bounded

	BeforeEach(func() { policy = balance.NewBounded(newRandom()) })

	// elsewhere returns a server that is not the chat's first choice.
	elsewhere := func(view *balance.View, request balance.Request) balance.ServerID {
		first, _ := policy.Pick(at(0), request, view)
		policy.Done(at(0), request, first, balance.Result{})
		for i := range view.Len() {
			if serverID(i) != first {
				return serverID(i)
			}
		}
		return ""
	}

	It("follows the hint while that incarnation serves", func() {
		view := single(servers(8, 16))
		request := chat(1)
		request.Hint = elsewhere(view, request)
		request.HintIncarnation = 1
		id, ok := policy.Pick(at(1), request, view)
		Expect(ok).To(BeTrue())
		Expect(id).To(Equal(request.Hint))
		request.HintIncarnation = 2
		id, ok = policy.Pick(at(1), request, view)
		Expect(ok).To(BeTrue())
		Expect(id).NotTo(Equal(request.Hint))
	})

	It("never picks an excluded server or one without a slot", func() {
		view := single(servers(2, 1))
		request := chat(1)
		request.Exclude = []balance.ServerID{serverID(0)}
		id, _ := policy.Pick(at(0), request, view)
		Expect(id).To(Equal(serverID(1)))
		_, ok := policy.Pick(at(0), request, view)
		Expect(ok).To(BeFalse())
	})

	It("sends a hot chat's surplus always to the same servers", func() {
		view := single(servers(20, 64))
		counts := map[balance.ServerID]int{}
		for range 100 {
			id, ok := policy.Pick(at(0), chat(1), view)
			Expect(ok).To(BeTrue())
			counts[id]++
			policy.Done(at(0), chat(1), id, balance.Result{})
		}
		Expect(counts).To(HaveLen(1))
	})

	It("keeps long work on its share of the servers and of their slots", func() {
		view := single(servers(10, 8))
		taken := map[balance.ServerID]int{}
		for i := range 80 {
			request := chat(i)
			request.Class = api.ClassLong
			if id, ok := policy.Pick(at(0), request, view); ok {
				taken[id]++
			}
		}
		Expect(len(taken)).To(BeNumerically("<=", 5))
		for _, count := range taken {
			Expect(count).To(BeNumerically("<=", 4))
		}
		_, ok := policy.Pick(at(0), chat(1), view)
		Expect(ok).To(BeTrue())
	})

	It("moves few chats to a server that is new, and more as it warms", func() {
		all := servers(10, 64)
		all[0].Since = at(0)
		view := single(all)
		moved := func(now time.Time) int {
			count := 0
			for i := range 2000 {
				id, _ := policy.Pick(now, chat(i), view)
				policy.Done(now, chat(i), id, balance.Result{})
				if id == serverID(0) {
					count++
				}
			}
			return count
		}
		cold, warm := moved(at(0)), moved(at(20))
		Expect(cold).To(BeNumerically("<", 50))
		Expect(warm).To(BeNumerically(">", 150))
	})

	It("ejects a slow server for a time, and never more than a fifth", func() {
		view := single(servers(10, 64))
		for round := range 200 {
			now := at(float64(round) * 0.1)
			for i := range 10 {
				id, _ := policy.Pick(now, chat(10*round+i), view)
				firstByte := 100 * time.Millisecond
				if id == serverID(0) || id == serverID(1) || id == serverID(2) {
					firstByte = time.Second
				}
				policy.Done(now, chat(10*round+i), id, balance.Result{FirstByte: firstByte})
			}
		}
		picked := map[balance.ServerID]bool{}
		for i := range 500 {
			id, _ := policy.Pick(at(20), chat(i), view)
			policy.Done(at(20), chat(i), id, balance.Result{})
			picked[id] = true
		}
		Expect(len(picked)).To(BeNumerically(">=", 8))
		Expect(len(picked)).To(BeNumerically("<", 10))
	})

	DescribeTable("needs fewer results the slower a server is", func(slow time.Duration, results int, ejected bool) {
		view := single(servers(10, 64))
		pick := func(now time.Time) balance.ServerID {
			id, _ := policy.Pick(now, chat(1), view)
			policy.Done(now, chat(1), id, balance.Result{})
			return id
		}
		home := pick(at(0))
		for i := range 10 {
			if serverID(i) != home {
				policy.FirstByte(at(0), chat(1), serverID(i), 50*time.Millisecond)
			}
		}
		for range results {
			policy.FirstByte(at(0), chat(1), home, slow)
		}
		Expect(pick(at(1)) != home).To(Equal(ejected))
	},
		Entry("twelve times as slow, once", 600*time.Millisecond, 1, true),
		Entry("five times as slow, once", 250*time.Millisecond, 1, false),
		Entry("five times as slow, twice", 250*time.Millisecond, 2, true),
		Entry("twice as slow, often", 100*time.Millisecond, 9, false),
	)

	It("learns of a slow server by its first bytes, and tries it with one request at a time", func() {
		view := single(servers(10, 64))
		slow := func(id balance.ServerID) time.Duration {
			if id == serverID(0) {
				return time.Second
			}
			return 100 * time.Millisecond
		}
		for i := range 400 {
			now := at(float64(i) * 0.01)
			id, _ := policy.Pick(now, chat(i), view)
			policy.FirstByte(now, chat(i), id, slow(id))
		}
		counts := func(now time.Time) int {
			count := 0
			for i := range 100 {
				if id, _ := policy.Pick(now, chat(1000+i), view); id == serverID(0) {
					count++
				}
			}
			return count
		}
		Expect(counts(at(4.5))).To(BeZero())
		for i := range 400 {
			policy.Done(at(4.6), chat(i), serverID(i%10), balance.Result{})
		}
		for range 100 {
			policy.Done(at(4.6), chat(0), serverID(0), balance.Result{})
		}
		Expect(counts(at(30))).To(Equal(1))
	})

	It("holds a server's whole load under the bound by the other routers' reports", func() {
		all := servers(10, 64)
		for i := range all {
			all[i].PeerInFlight, all[i].PeerInFlightAt = 10, at(0)
		}
		all[3].PeerInFlight = 40
		view := balance.NewView(all, 0, balance.RouterRank{Rank: 1, Count: 15})
		for i := range 20 {
			id, ok := policy.Pick(at(1), chat(i), view)
			Expect(ok).To(BeTrue())
			Expect(id).NotTo(Equal(serverID(3)))
		}
	})

	It("leaves a warm server to its share where the other routers have long been silent", func() {
		all := servers(10, 64)
		for i := range all {
			all[i].PeerInFlight, all[i].PeerInFlightAt = 10, at(0)
		}
		view := balance.NewView(all, 0, balance.RouterRank{Rank: 1, Count: 15})
		first, _ := policy.Pick(at(10), chat(1), view)
		second, _ := policy.Pick(at(10), chat(1), view)
		Expect(second).NotTo(Equal(first))
	})

	It("holds the bound summed over routers that have equal parts of the work", func() {
		for seed := range uint64(200) {
			random := rand.New(rand.NewPCG(seed, 1))
			routers, count, mean := 1+random.IntN(15), 3+random.IntN(40), 2+random.IntN(20)
			each := (count*mean + routers - 1) / routers
			load := fill(random, routers, count, each*routers)
			limit := int(balance.DefaultLoadBound*float64(each*routers)/float64(count) + 1)
			for id, one := range load {
				Expect(one).To(BeNumerically("<=", limit), "seed %d, %s, %d routers, %d servers, mean %d", seed, id, routers, count, mean)
			}
		}
	})
})

// fill sends requests, a third of them of three hot chats, to routers in turn
// and returns the load of each server.
func fill(random *rand.Rand, routers, count, total int) map[balance.ServerID]int {
	policies := make([]*balance.Bounded, routers)
	views := make([]*balance.View, routers)
	for r := range policies {
		policies[r] = balance.NewBounded(random)
		views[r] = balance.NewView(servers(count, 1000), 0, balance.RouterRank{Rank: r, Count: routers})
	}
	load := map[balance.ServerID]int{}
	for i := range total {
		request := chat(random.IntN(100000))
		if random.IntN(3) == 0 {
			request = chat(random.IntN(3))
		}
		id, _ := policies[i%routers].Pick(at(0), request, views[i%routers])
		load[id]++
	}
	return load
}

var _ = Describe("New", func() {
	It("makes every policy and refuses others", func() {
		for _, policy := range settings.Policies {
			balancer, err := balance.New(policy, newRandom())
			Expect(err).NotTo(HaveOccurred())
			view := single(servers(3, 2))
			for i := range 6 {
				_, ok := balancer.Pick(at(0), chat(i), view)
				Expect(ok).To(BeTrue(), string(policy))
			}
			_, ok := balancer.Pick(at(0), chat(7), view)
			Expect(ok).To(BeFalse(), string(policy))
		}
		_, err := balance.New("best", newRandom())
		Expect(err).To(HaveOccurred())
	})
})

var _ = Describe("Budget", func() {
	It("grants a share of the first attempts and never amplifies an overload", func() {
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
			view := balance.NewView(servers(count, 64), 0, balance.RouterRank{Rank: 3, Count: 15})
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
