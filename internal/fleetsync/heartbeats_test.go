package fleetsync_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"peridotwinch.example/peridotwinch/internal/fleetsync"
	"peridotwinch.example/peridotwinch/internal/rpc/fleetpb"
)

// TestRouterKeepsABoundedNumberOfServers guards against one router that gets the heartbeats of a whole
// fleet, and against heartbeats that look newer with each hop or are repeated with each report.
func TestRouterKeepsABoundedNumberOfServers(t *testing.T) {
	g := NewWithT(t)
	r := fleetsync.NewRelay("a", newFakeReplica(), nil, newTestLosses(), 1, 0, zerolog.Nop())
	start := time.Now()
	for hash := uint64(1); hash <= 300; hash++ {
		g.Expect(r.RecordHeartbeat(hash, start)).To(BeTrue())
		g.Expect(r.KeepsHeartbeats(hash)).To(Equal(hash <= 256))
	}
	count, full := r.HeartbeatServers()
	g.Expect(full).To(BeTrue())
	g.Expect(count).To(Equal(256))
	g.Expect(r.KeepsHeartbeats(1)).To(BeTrue(), "the others stay when one is too many")
	message, confirm := r.UnsentHeartbeats(start.Add(100500 * time.Microsecond))
	g.Expect(message.GetServers()).To(HaveLen(300))
	g.Expect(message.GetAgeMs()).To(HaveEach(uint32(101)))
	confirm()
	message, _ = r.UnsentHeartbeats(start.Add(time.Second))
	g.Expect(message).To(BeNil())
	g.Expect(r.RecordHeartbeat(1, start.Add(time.Second))).To(BeTrue())
	message, _ = r.UnsentHeartbeats(start.Add(1300 * time.Millisecond))
	g.Expect(message).To(BeNil(), "the source knows of one 1.3 s ago")
	message, _ = r.UnsentHeartbeats(start.Add(1400 * time.Millisecond))
	g.Expect(message).To(BeEquivalentTo(&fleetpb.Liveness{Servers: []uint64{1}, AgeMs: []uint32{400}}))
	r.RecordUnknownServers([]uint64{2}, start.Add(time.Second))
	g.Expect(r.RecordHeartbeat(2, start.Add(time.Second))).To(BeFalse(), "it has to be forwarded")
	r.RecordForwarded(2)
	g.Expect(r.RecordHeartbeat(2, start.Add(time.Second))).To(BeTrue())
	_, _ = r.UnsentHeartbeats(start.Add(4500 * time.Millisecond))
	count, full = r.HeartbeatServers()
	g.Expect(full).To(BeFalse())
	g.Expect(count).To(Equal(2), "servers that announce themselves elsewhere")
}
