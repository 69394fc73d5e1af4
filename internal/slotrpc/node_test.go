package slotrpc_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"storj.io/drpc"

	"peridotwinch.example/peridotwinch/internal/registry"
	"peridotwinch.example/peridotwinch/internal/rpc"
	"peridotwinch.example/peridotwinch/internal/rpc/slotpb"
	"peridotwinch.example/peridotwinch/internal/slotrpc"
	"peridotwinch.example/peridotwinch/internal/slotshare"
)

const patience = 600 * time.Millisecond

// entries returns the servers of pool "p", with two slots each.
func entries(count int) (out []registry.Entry) {
	for i := range count {
		out = append(out, registry.Entry{Server: registry.Server{
			ID: string(rune('a' + i)), StartedMS: 1, Pool: "p", Domain: "zone", Slots: 2, State: registry.StateReady,
		}})
	}
	return out
}

func hash(i int) uint64 { return entries(i + 1)[i].Hash() }

// listen serves RPCs at a loopback address until stop is called or the test ends.
func listen(t testing.TB, register func(*rpc.Server)) (address string, stop func()) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := rpc.NewServer()
	register(server)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = server.Serve(ctx, listener) }()
	return listener.Addr().String(), cancel
}

// startNode starts a node that coordinates two servers and serves at the returned address until
// stop is called.
func startNode(t testing.TB, instance string) (node *slotrpc.Node, address string, stop func()) {
	t.Helper()
	// On a busy machine, answers take longer than the 40 ms of the product.
	node = slotrpc.New(slotrpc.Config{Instance: instance, FailureDomain: "zone", Address: instance, AnswerLimit: patience}, zerolog.Nop())
	node.SetServers(entries(2))
	address, stopServer := listen(t, func(server *rpc.Server) { NewWithT(t).Expect(node.Register(server.Mux())).To(Succeed()) })
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); _ = node.Run(ctx) }()
	stop = func() {
		stopServer()
		cancel()
		<-ended
	}
	t.Cleanup(stop)
	return node, address, stop
}

func newAsk() slotshare.Ask {
	return slotshare.Ask{OnTime: time.Now().Add(time.Second), Deadline: time.Now().Add(5 * time.Second)}
}

// acquire asks until the coordinator decides.
func acquire(g *WithT, node *slotrpc.Node) slotrpc.Result {
	var out slotrpc.Result
	g.Eventually(func() slotshare.Verdict {
		out = node.Acquire(context.Background(), "p", newAsk(), patience)
		return out.Verdict
	}, "10s", "20ms").ShouldNot(Equal(slotshare.VerdictPassed))
	return out
}

// TestRoutersShareSlots guards against two routers that take the same slot, a slot that is not
// free after its release, and a request that waits for good.
func TestRoutersShareSlots(t *testing.T) {
	g := NewWithT(t)
	coordinator, address, _ := startNode(t, "r1")
	other, _, _ := startNode(t, "r2")
	coordinator.SetCoordinator(address)
	other.SetCoordinator(address)
	taken := make(map[uint64]int)
	var slots []slotrpc.Slot
	for i := range 4 {
		result := acquire(g, []*slotrpc.Node{coordinator, other}[i%2])
		g.Expect(result.Verdict).To(Equal(slotshare.VerdictGranted))
		g.Expect(result.Queued).To(BeFalse())
		taken[result.Server]++
		slots = append(slots, result.Slot)
	}
	g.Expect(taken).To(Equal(map[uint64]int{hash(0): 2, hash(1): 2}))
	for range 2 {
		g.Expect(acquire(g, other).Verdict).To(Equal(slotshare.VerdictGranted), "beyond the slots of a server")
	}
	waited := make(chan slotrpc.Result, 1)
	go func() { waited <- other.Acquire(context.Background(), "p", newAsk(), patience) }()
	g.Consistently(waited, "100ms").ShouldNot(Receive())
	slots[0].Release(slotshare.OutcomeAnswered)
	slots[0].Release(slotshare.OutcomeAnswered)
	var result slotrpc.Result
	g.Eventually(waited, "5s").Should(Receive(&result))
	g.Expect(result.Verdict).To(Equal(slotshare.VerdictGranted))
	g.Expect(result.Queued).To(BeTrue())

	ctx, cancel := context.WithCancel(context.Background())
	go func() { waited <- other.Acquire(ctx, "p", newAsk(), patience) }()
	g.Consistently(waited, "100ms").ShouldNot(Receive())
	cancel()
	g.Eventually(waited, "5s").Should(Receive(&result))
	g.Expect(result.Verdict).To(Equal(slotshare.VerdictPassed))
}

// TestNoCoordinator guards against requests that wait for a coordinator that is not named, not
// reachable, or cut off so that nothing arrives.
func TestNoCoordinator(t *testing.T) {
	g := NewWithT(t)
	node, _, _ := startNode(t, "r1")
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = silent.Close() }()
	for _, address := range []string{"", "127.0.0.1:1", silent.Addr().String()} {
		node.SetCoordinator(address)
		time.Sleep(50 * time.Millisecond)
		started := time.Now()
		g.Expect(node.Acquire(context.Background(), "p", newAsk(), time.Minute).Verdict).To(Equal(slotshare.VerdictPassed))
		g.Expect(time.Since(started)).To(BeNumerically("<", 10*time.Second))
	}
}

// fakeCoordinator answers pings, and asks as long as it is not frozen. It records what it received.
type fakeCoordinator struct {
	mu       sync.Mutex
	frozen   bool
	stream   slotpb.DRPCSlots_ShareStream
	asks     []*slotpb.Ask
	takes    []*slotpb.Take
	releases []*slotpb.Release
}

func (f *fakeCoordinator) Share(stream slotpb.DRPCSlots_ShareStream) error {
	for {
		request, err := stream.Recv()
		if err != nil {
			return err
		}
		f.mu.Lock()
		f.stream = stream
		f.asks = append(f.asks, request.GetAsks()...)
		f.takes = append(f.takes, request.GetTakes()...)
		f.releases = append(f.releases, request.GetReleases()...)
		response := &slotpb.ShareResponse{Pong: request.GetPing()}
		for _, ask := range request.GetAsks() {
			response.Decisions = append(response.Decisions, granted(ask.GetId()))
		}
		if !f.frozen {
			err = stream.Send(response)
		}
		f.mu.Unlock()
		if err != nil {
			return err
		}
	}
}

func granted(id uint64) *slotpb.Decision {
	return &slotpb.Decision{Id: id, Verdict: uint32(slotshare.VerdictGranted), Server: hash(0)}
}

func (f *fakeCoordinator) freeze() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.frozen = true
}

// TestFrozenCoordinator guards against requests that wait for a coordinator that does not answer,
// and against a slot that stays taken because its grant came after the router had decided alone.
func TestFrozenCoordinator(t *testing.T) {
	g := NewWithT(t)
	fake := &fakeCoordinator{}
	address, _ := listen(t, func(server *rpc.Server) { g.Expect(slotpb.DRPCRegisterSlots(server.Mux(), fake)).To(Succeed()) })
	node, _, _ := startNode(t, "r1")
	node.SetCoordinator(address)
	acquire(g, node).Slot.Release(slotshare.OutcomeAnswered)
	fake.freeze()
	started := time.Now()
	g.Expect(node.Acquire(context.Background(), "p", newAsk(), patience).Verdict).To(Equal(slotshare.VerdictPassed))
	g.Expect(time.Since(started)).To(BeNumerically("<", 20*patience), "on a busy machine")
	g.Expect(node.Acquire(context.Background(), "p", newAsk(), time.Minute).Verdict).To(Equal(slotshare.VerdictPassed), "at once")

	fake.mu.Lock()
	late := fake.asks[len(fake.asks)-1].GetId()
	g.Expect(fake.stream.Send(&slotpb.ShareResponse{Decisions: []*slotpb.Decision{granted(late)}})).To(Succeed())
	fake.mu.Unlock()
	g.Eventually(func() bool {
		fake.mu.Lock()
		defer fake.mu.Unlock()
		for _, release := range fake.releases {
			if release.GetId() == late {
				return true
			}
		}
		return false
	}, "5s").Should(BeTrue())
}

// TestCoordinatorEndsWithGrants guards against requests that wait for a process that ended, and
// against a next coordinator that does not know which slots are taken.
func TestCoordinatorEndsWithGrants(t *testing.T) {
	g := NewWithT(t)
	_, firstAddress, stop := startNode(t, "r1")
	second, secondAddress, _ := startNode(t, "r2")
	node, _, _ := startNode(t, "r3")
	node.SetCoordinator(firstAddress)
	var slots []slotrpc.Slot
	for range 6 {
		slots = append(slots, acquire(g, node).Slot)
	}
	waited := make(chan slotrpc.Result, 1)
	go func() { waited <- node.Acquire(context.Background(), "p", newAsk(), patience) }()
	g.Consistently(waited, "100ms").ShouldNot(Receive())
	stop()
	var result slotrpc.Result
	g.Eventually(waited, "5s").Should(Receive(&result))
	g.Expect(result.Verdict).To(Equal(slotshare.VerdictPassed))

	node.SetCoordinator(secondAddress)
	second.SetCoordinator(secondAddress)
	slots = append(slots, node.Take("p", hash(0), newAsk()))
	g.Eventually(func() bool { return isQueued(second) }, "10s", "20ms").Should(BeTrue(), "the slots that the other router stated are taken")
	for _, slot := range slots {
		slot.Release(slotshare.OutcomeUnknown)
	}
	g.Eventually(func() bool { return hasFreeSlot(second) }, "10s", "20ms").Should(BeTrue())
}

// hasFreeSlot reports whether a node is granted a slot at once.
func hasFreeSlot(node *slotrpc.Node) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	result := node.Acquire(ctx, "p", newAsk(), time.Minute)
	result.Slot.Release(slotshare.OutcomeUnknown)
	return result.Verdict == slotshare.VerdictGranted && !result.Queued
}

// isQueued reports whether a request of a node has to wait at the coordinator.
func isQueued(node *slotrpc.Node) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	result := node.Acquire(ctx, "p", newAsk(), time.Minute)
	result.Slot.Release(slotshare.OutcomeUnknown)
	return result.Queued
}

// TestRouterEndsWithGrants guards against slots that are taken for good by a router that ended.
func TestRouterEndsWithGrants(t *testing.T) {
	g := NewWithT(t)
	coordinator, address, _ := startNode(t, "r1")
	coordinator.SetCoordinator(address)
	node, _, stop := startNode(t, "r2")
	node.SetCoordinator(address)
	for range 6 {
		acquire(g, node)
	}
	waited := make(chan slotrpc.Result, 1)
	go func() { waited <- acquire(g, coordinator) }()
	g.Consistently(waited, "100ms").ShouldNot(Receive())
	stop()
	var result slotrpc.Result
	g.Eventually(waited, "5s").Should(Receive(&result))
	g.Expect(result.Verdict).To(Equal(slotshare.VerdictGranted))
}

// TestMalformedMessages guards against a coordinator that ends because of what a router sends.
func TestMalformedMessages(t *testing.T) {
	g := NewWithT(t)
	coordinator, address, _ := startNode(t, "r1")
	coordinator.SetCoordinator(address)
	acquire(g, coordinator).Slot.Release(slotshare.OutcomeAnswered)
	client := rpc.NewClient(address, rpc.PurposeSlots)
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	g.Expect(client.Do(ctx, share(g, &slotpb.ShareRequest{}))).To(Succeed())
	long := &slotpb.Ask{Id: 7, Pool: "p", OnTimeUs: -1 << 63, DeadlineUs: 1<<63 - 1, Priority: -1 << 31, Unusable: make([]uint64, 1000)}
	g.Expect(client.Do(ctx, share(g, &slotpb.ShareRequest{
		Instance: "r9", Asks: []*slotpb.Ask{long, long, {Id: 8, Pool: "unknown"}}, Releases: []*slotpb.Release{{Id: 7, Pool: "p", Outcome: 1 << 20}, {Id: 9}},
		Takes: []*slotpb.Take{{Id: 3, Pool: "p", Server: 12, DeadlineUs: -1 << 63}},
	}))).To(Succeed())
	g.Expect(acquire(g, coordinator).Verdict).To(Equal(slotshare.VerdictGranted))
}

// share sends one message on a stream and waits for an answer or the end of the stream.
func share(g *WithT, request *slotpb.ShareRequest) func(context.Context, drpc.Conn) error {
	return func(ctx context.Context, conn drpc.Conn) error {
		stream, err := slotpb.NewDRPCSlotsClient(conn).Share(ctx)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(stream.Send(request)).To(Succeed())
		_, _ = stream.Recv()
		return stream.Close()
	}
}
