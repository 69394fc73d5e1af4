package slotrpc_test

import (
	"context"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"peridotwinch.example/peridotwinch/internal/rpc/slotpb"
	"peridotwinch.example/peridotwinch/internal/slotshare"
)

// TestMessagesAreSmall guards against messages that take more than 100 bytes of the links of small
// routers.
func TestMessagesAreSmall(t *testing.T) {
	g := NewWithT(t)
	const id = 10_000_000
	for _, message := range []proto.Message{
		&slotpb.ShareRequest{Asks: []*slotpb.Ask{{
			Id: id, Pool: "booking-app", Customer: 1 << 63, Priority: 4, OnTimeUs: 300_000, DeadlineUs: 2_000_000, Unusable: []uint64{1 << 63, 1 << 62},
		}}},
		&slotpb.ShareRequest{Releases: []*slotpb.Release{{Id: id, Pool: "booking-app", Outcome: 1}}},
		&slotpb.ShareResponse{Decisions: []*slotpb.Decision{{Id: id, Verdict: uint32(slotshare.VerdictGranted), Server: 1 << 63, RetryAfterMs: 1000}}},
	} {
		size := proto.Size(message)
		t.Logf("%T: %d bytes", message, size)
		g.Expect(size).To(BeNumerically("<", 100))
	}
}

// BenchmarkRequest measures the processor time of a request's ask, grant and release, of the router
// and the coordinator together, with batches of one.
func BenchmarkRequest(b *testing.B) {
	g := NewWithT(b)
	_, address, _ := startNode(b, "r1")
	node, _, _ := startNode(b, "r2")
	node.SetCoordinator(address)
	acquire(g, node).Slot.Release(slotshare.OutcomeAnswered)
	before := processorTime()
	for b.Loop() {
		node.Acquire(context.Background(), "p", newAsk(), time.Second).Slot.Release(slotshare.OutcomeAnswered)
	}
	b.ReportMetric(float64((processorTime()-before).Microseconds())/float64(b.N), "cpu-µs/op")
}

func processorTime() time.Duration {
	usage := syscall.Rusage{}
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
