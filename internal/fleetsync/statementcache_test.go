package fleetsync_test

import (
	"context"
	"maps"
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"peridotwinch.example/peridotwinch/internal/fleetsync"
	"peridotwinch.example/peridotwinch/internal/ratelimit"
	"peridotwinch.example/peridotwinch/internal/relay"
	"peridotwinch.example/peridotwinch/internal/rpc/fleetpb"
)

// TestCacheKeepsNewestStatement checks over random statements, in any order, that the newest of
// each server wins, that a process with a cursor has all of them in the end, and that statements
// are not sent back.
func TestCacheKeepsNewestStatement(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		cache := fleetsync.NewStatementCache()
		now := time.Unix(1000, 0)
		want, got := make(map[uint64]ratelimit.Statement), make(map[uint64]ratelimit.Statement)
		var cursor fleetsync.StatementCursor
		for range rapid.IntRange(1, 40).Draw(t, "statements") {
			now = now.Add(time.Duration(rapid.IntRange(0, 800).Draw(t, "pause")) * time.Millisecond)
			server := rapid.Uint64Range(1, 3).Draw(t, "server")
			statement := ratelimit.Statement{StatedAt: now.Add(-time.Duration(rapid.IntRange(0, 5000).Draw(t, "age")) * time.Millisecond)}
			if rapid.Bool().Draw(t, "limited") {
				statement.Limited, statement.PerSecond = true, 2.5
			}
			isNewer := statement.StatedAt.After(want[server].StatedAt)
			newer, _ := cache.Merge(map[uint64]ratelimit.Statement{server: statement}, fleetsync.OriginFollower("a"), now)
			g.Expect(newer).To(HaveLen(map[bool]int{true: 1}[isNewer]))
			if isNewer {
				want[server] = statement
			}
			if rapid.Bool().Draw(t, "send") {
				var sent map[uint64]ratelimit.Statement
				sent, cursor = cache.Changes(cursor, rapid.Bool().Draw(t, "news only"), fleetsync.OriginUpstream, now)
				maps.Copy(got, sent)
			}
			back, _ := cache.Changes(fleetsync.StatementCursor{}, false, fleetsync.OriginFollower("a"), now)
			g.Expect(back).To(BeEmpty())
		}
		sent, _ := cache.Changes(cursor, false, fleetsync.OriginUpstream, now)
		maps.Copy(got, sent)
		for server, statement := range want {
			if now.Sub(statement.StatedAt) > 9*time.Second {
				continue
			}
			g.Expect(got[server].Limited).To(Equal(statement.Limited))
			g.Expect(statement.StatedAt.Sub(got[server].StatedAt)).To(BeNumerically("<", 3*time.Second))
		}
	})
}

func TestCacheIsBounded(t *testing.T) {
	g := NewWithT(t)
	cache := fleetsync.NewStatementCache()
	now := time.Unix(1000, 0)
	for i := range uint64(2 * fleetsync.MaxStatements) {
		at := now.Add(time.Duration(i) * time.Microsecond)
		cache.Merge(map[uint64]ratelimit.Statement{i: limited(2.5, at)}, fleetsync.OriginSelf, now)
	}
	all, _ := cache.Changes(fleetsync.StatementCursor{}, false, fleetsync.OriginUpstream, now)
	g.Expect(all).To(HaveLen(fleetsync.MaxStatements))
	g.Expect(all).To(HaveKey(uint64(2*fleetsync.MaxStatements - 1)))
	g.Expect(all).NotTo(HaveKey(uint64(0)))
	all, _ = cache.Changes(fleetsync.StatementCursor{}, false, fleetsync.OriginUpstream, now.Add(11*time.Second))
	g.Expect(all).To(BeEmpty())
}

func TestMalformedStatementsAreDropped(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	infinite, nan := float32(math.Inf(1)), float32(math.NaN())
	message := &fleetpb.RateStatements{
		Servers:   []uint64{1, 2, 3, 4, 5, 6, 7, 8, 9},
		PerSecond: []float32{2.5, -1, 0, -2, infinite, -infinite, nan, 2.5},
		AgeMs:     []uint32{10, 10, 10, 10, 10, 10, 10, math.MaxUint32, 10},
	}
	at := now.Add(-10 * time.Millisecond)
	g.Expect(fleetsync.FromRateStatements(message, now)).To(Equal(map[uint64]ratelimit.Statement{
		1: limited(2.5, at), 2: {StatedAt: at}, 3: limited(0, at),
	}))
	g.Expect(fleetsync.FromRateStatements(nil, now)).To(BeEmpty())
}

// TestTransmissionNeverRaisesRateNorMakesItNewer guards against rounding that lets the routers
// send more than a server takes, or that makes an old statement win.
func TestTransmissionNeverRaisesRateNorMakesItNewer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		now := time.Unix(1000, 0)
		sent := limited(rapid.Float64Range(0, math.MaxFloat64).Draw(t, "rate"), now.Add(-time.Duration(rapid.Int64Range(0, 9e9).Draw(t, "age"))))
		received := fleetsync.FromRateStatements(fleetsync.ToRateStatements(map[uint64]ratelimit.Statement{1: sent}, now), now)
		g.Expect(received[1].Limited).To(BeTrue())
		g.Expect(received[1].PerSecond).To(BeNumerically("<=", sent.PerSecond))
		g.Expect(received[1].StatedAt.After(sent.StatedAt)).To(BeFalse())
	})
}

// TestSizeOfStatements measures the bytes of a statement, of which docs/CAPACITY.md derives the
// cost on a link. Without limited servers there are none.
func TestSizeOfStatements(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	size := func(count int) int {
		statements := make(map[uint64]ratelimit.Statement)
		for i := range uint64(count) {
			statements[i*0x9e3779b97f4a7c15] = limited(2.6, now.Add(-time.Duration(i*15)*time.Millisecond))
		}
		return proto.Size(&fleetpb.FollowEvent{Statements: fleetsync.ToRateStatements(statements, now)})
	}
	g.Expect(size(0)).To(BeZero())
	for _, count := range []int{1, 50, 100, 200, 400} {
		t.Logf("%d statements: %d bytes", count, size(count))
	}
	numbered := proto.Size(&fleetpb.ReportResponse{Numbering: fleetsync.ToNumbering(relay.Numbering{First: 300, Length: 40, Count: 370})})
	t.Logf("numbering: %d bytes", numbered)
	g.Expect(numbered).To(BeNumerically("<=", 12))
	g.Expect(size(400) - size(200)).To(BeNumerically("<=", 200*14))
}

// TestNumberingOfOldOrFaultySourceIsIgnored guards against a router that forgets its position
// because its source is of a version that gives none, or gives an impossible one.
func TestNumberingOfOldOrFaultySourceIsIgnored(t *testing.T) {
	g := NewWithT(t)
	relayed := fleetsync.NewRelay("127.0.0.1:1", newFakeReplica(), nil, newTestLosses(), 16, 0, zerolog.Nop())
	report := func() *fleetpb.Numbering {
		response, err := relayed.Report(context.Background(), &fleetpb.ReportRequest{Instance: "router-2", Subtree: &fleetpb.Subtree{Routers: 2}})
		g.Expect(err).NotTo(HaveOccurred())
		return response.GetNumbering()
	}
	g.Expect(report()).To(BeNil(), "the relay has no position itself")
	_, known := relayed.RecordNumbering(&fleetpb.Numbering{First: 4, Length: 3, Count: 9})
	g.Expect(known).To(BeTrue())
	for _, faulty := range []*fleetpb.Numbering{
		nil, {}, {First: 4, Length: 3}, {First: 9, Length: 1, Count: 9}, {First: 4, Length: 0, Count: 9}, {First: math.MaxUint32, Length: math.MaxUint32, Count: math.MaxUint32},
	} {
		_, known := relayed.RecordNumbering(faulty)
		g.Expect(known).To(BeFalse())
	}
	g.Expect(relayed.Position()).To(Equal(ratelimit.Position{Index: 4, Count: 9}))
	numbering := report()
	g.Expect([]uint32{numbering.GetFirst(), numbering.GetLength(), numbering.GetCount()}).To(Equal([]uint32{5, 2, 9}))
	old, err := relayed.Report(context.Background(), &fleetpb.ReportRequest{Instance: "router-3"})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(old.GetNumbering()).To(BeNil(), "a follower that reports no routers")
}
