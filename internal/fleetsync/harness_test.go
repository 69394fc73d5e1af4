package fleetsync_test

import (
	"context"
	"fmt"
	"net"
	"path/filepath"
	"sync"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"peridotwinch.example/peridotwinch/internal/evacuation"
	"peridotwinch.example/peridotwinch/internal/fleetsync"
	"peridotwinch.example/peridotwinch/internal/quarantine"
	"peridotwinch.example/peridotwinch/internal/registry"
	"peridotwinch.example/peridotwinch/internal/relay"
	"peridotwinch.example/peridotwinch/internal/routetable"
	"peridotwinch.example/peridotwinch/internal/rpc"
	"peridotwinch.example/peridotwinch/internal/testcluster"
)

// fakeReplica is a fleetsync.Source whose route table and quorum a test sets.
type fakeReplica struct {
	mu        sync.Mutex
	table     *routetable.Document
	hasQuorum bool
	replicas  []string
	changed   []chan struct{}
	barrier   error
	// evacuations is nil for a replica that does not know them.
	evacuations *evacuation.Set
}

func newFakeReplica(replicas ...string) *fakeReplica {
	return &fakeReplica{hasQuorum: true, replicas: replicas}
}

func (f *fakeReplica) Table() *fleetsync.TableVersion {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.table == nil {
		return nil
	}
	return fleetsync.NewTableVersion(f.table)
}

func (f *fakeReplica) Upstream() relay.Path { return nil }

func (f *fakeReplica) Subscribe() (<-chan struct{}, func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	changed := make(chan struct{}, 1)
	f.changed = append(f.changed, changed)
	return changed, func() {}
}

func (f *fakeReplica) Barrier(context.Context) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.barrier
}

// controlLimits are the default limits of the settings.
var controlLimits = relay.Limits{Unconditional: 8, PerDomain: 2, Max: 64}

var errBarrier = errors.New("no majority")

func (f *fakeReplica) setBarrier(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.barrier = err
}

func (f *fakeReplica) HasQuorum() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hasQuorum
}

func (f *fakeReplica) Controls() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.replicas
}

func (f *fakeReplica) setReplicas(replicas ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.replicas = replicas
}

func (f *fakeReplica) Evacuations() *evacuation.Set {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.evacuations
}

func (f *fakeReplica) setEvacuations(set *evacuation.Set) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.evacuations = set
	f.notify()
}

func (f *fakeReplica) setTable(d *routetable.Document) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.table = d
	f.notify()
}

// notify wakes the subscribers; the caller holds mu.
func (f *fakeReplica) notify() {
	for _, changed := range f.changed {
		select {
		case changed <- struct{}{}:
		default:
		}
	}
}

func (f *fakeReplica) setQuorum(hasQuorum bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hasQuorum = hasQuorum
}

// reserveAddress returns a loopback address without a listener that no other process takes.
func reserveAddress(t *testing.T) string {
	address, err := testcluster.Address()
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return address
}

// serve serves a service's RPCs at address and runs the service until the test ends.
func serve(t *testing.T, service *fleetsync.Service, address string) {
	serveUntil(t, context.Background(), service, address)
}

// serveUntil serves a service as serve does until ctx or the test ends. It returns a channel that
// is closed once nothing listens at address any more.
func serveUntil(t *testing.T, ctx context.Context, service *fleetsync.Service, address string) <-chan struct{} {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", address)
	g.Expect(err).NotTo(HaveOccurred())
	server := rpc.NewServer()
	g.Expect(service.Register(server.Mux())).To(Succeed())
	ctx, cancel := context.WithCancel(ctx)
	t.Cleanup(cancel)
	stopped := make(chan struct{})
	go func() { defer close(stopped); _ = server.Serve(ctx, listener) }()
	go func() { _ = service.Run(ctx) }()
	return stopped
}

func newTestService(t *testing.T, replica fleetsync.Source, own string) *fleetsync.Service {
	return newTestServiceWithLosses(t, replica, newTestLosses(), own)
}

func newTestServiceWithLosses(t *testing.T, replica fleetsync.Source, losses *quarantine.Store, own string) *fleetsync.Service {
	return fleetsync.NewService(own, replica, losses, newTestDepartures(t), controlLimits, 0, zerolog.Nop())
}

func newTestDepartures(t *testing.T) *fleetsync.DepartureLog {
	return fleetsync.OpenDepartureLog(filepath.Join(t.TempDir(), "departures"), zerolog.Nop())
}

func newTestLosses() *quarantine.Store { return quarantine.NewStore("test", zerolog.Nop()) }

func testServer(i int) registry.Server {
	return registry.Server{
		ID: fmt.Sprintf("i-%010d", i), StartedMS: int64(1000 + i), Sequence: 1, Pool: "pool-a",
		Address: fmt.Sprintf("10.0.%d.%d:8080", i/250, i%250), Domain: "domain-a", Version: "v1", Slots: 12,
		State: registry.StateReady, Models: []registry.Model{{Name: "m", Version: 1}},
	}
}

// newBenchmarkService returns the service of a replica that n servers have announced themselves to.
func newBenchmarkService(b *testing.B, n int) *fleetsync.Service {
	departures := fleetsync.OpenDepartureLog(filepath.Join(b.TempDir(), "departures"), zerolog.Nop())
	service := fleetsync.NewService("127.0.0.1:1", newFakeReplica("127.0.0.1:1"), newTestLosses(), departures, controlLimits, 0, zerolog.Nop())
	for i := range n {
		if err := service.Announce(context.Background(), testServer(i)); err != nil {
			b.Fatal(err)
		}
	}
	return service
}
