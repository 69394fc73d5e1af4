package dispatch

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/balance"
	"peridotwinch.example/peridotwinch/internal/catalog"
	"peridotwinch.example/peridotwinch/internal/membership"
	"peridotwinch.example/peridotwinch/internal/ratelimit"
)

// fixedSource has the same servers all the time.
type fixedSource struct{ servers []membership.Server }

// Servers implements Source.
func (s *fixedSource) Servers() []membership.Server { return s.servers }

// Version implements Versioned.
func (s *fixedSource) Version() uint64 { return 1 }

// newTestDispatcher returns a dispatcher with one server and a clock that the test sets.
func newTestDispatcher(t *testing.T) (*Dispatcher, *catalog.Catalog, catalog.Pool, *time.Time) {
	t.Helper()
	spec, err := json.Marshal(&api.PoolSpec{Protocol: api.ProtocolChat})
	if err != nil {
		t.Fatal(err)
	}
	view := catalog.New(1, map[string]*api.Resource{"uid": {Kind: api.KindPools, UID: "uid", Names: api.Names{"engine": "chat"}, Spec: spec}})
	pool, ok := view.Pool("chat")
	if !ok {
		t.Fatal("no pool")
	}
	src := &fixedSource{[]membership.Server{{Announcement: api.Announcement{Address: "127.0.0.1:9001", Incarnation: 1, Sequence: 1, Pool: "chat", Models: []string{"swahili"}, State: api.ServerServing, Slots: 1000}}}}
	d := New(src, func() balance.Balancer { return balance.NewBounded(rand.New(rand.NewPCG(1, 2))) }, WithQueueTimeout(time.Hour))
	now := time.Now()
	d.now = func() time.Time { return now }
	return d, view, pool, &now
}

// TestRequestsPickedBeforeARateIsUsedUpStayWithinIt guards against leases on a server that left the view
// between pick and lease because its rate was used up, with another incarnation than the server's.
func TestRequestsPickedBeforeARateIsUsedUpStayWithinIt(t *testing.T) {
	g := NewWithT(t)
	d, view, pool, now := newTestDispatcher(t)
	short := balance.Request{Customer: "a", Class: api.ClassShort}
	first, err := d.Acquire(context.Background(), view, pool, "swahili", short)
	g.Expect(err).NotTo(HaveOccurred())
	first.RecordRate(ratelimit.Statement{PerSecond: 0.5, Limited: true})
	*now = now.Add(7 * time.Second)
	var pendings []*pendingRequest
	for range 30 {
		pending, id, err := d.admit(view, pool, "swahili", short)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(id).NotTo(BeEmpty())
		pendings = append(pendings, pending)
	}
	granted := 0
	for i, pending := range pendings {
		if i == 10 {
			*now = now.Add(maxViewAge)
			pending.pool.refresh(*now, d)
		}
		if lease, _ := d.reserve(context.Background(), pending, first.Server); lease != nil {
			g.Expect(lease.Incarnation).To(Equal(first.Incarnation))
			granted++
		}
	}
	g.Expect(granted).To(BeNumerically("<=", 7))
}

// TestFirstLimitDoesNotBlockARunningRouter guards against a router that counts as one that has just joined when
// a server first names a limit.
func TestFirstLimitDoesNotBlockARunningRouter(t *testing.T) {
	g := NewWithT(t)
	d, view, pool, now := newTestDispatcher(t)
	short := balance.Request{Customer: "a", Class: api.ClassShort}
	first, err := d.Acquire(context.Background(), view, pool, "swahili", short)
	g.Expect(err).NotTo(HaveOccurred())
	d.serveQueues()
	*now = now.Add(time.Hour)
	first.RecordRate(ratelimit.Statement{PerSecond: 100, Limited: true})
	_, err = d.Acquire(context.Background(), view, pool, "swahili", short)
	g.Expect(err).NotTo(HaveOccurred())
}
