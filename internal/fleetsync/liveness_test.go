package fleetsync_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"peridotwinch.example/peridotwinch/internal/fleetsync"
	"peridotwinch.example/peridotwinch/internal/registry"
	"peridotwinch.example/peridotwinch/internal/rpc/fleetpb"
)

// TestDigestsRepeatServersOnlyInTime guards against digests that repeat every server each 0.7 s,
// and against another replica that counts a server as silent between two repetitions. 3,000 servers
// announce themselves each 1.2 s, at a random one of six replicas; the test has the digests of one.
func TestDigestsRepeatServersOnlyInTime(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(1, 2))
	start := time.Now()
	const servers, replicas = 3000, 6
	next := make([]time.Time, servers)
	for i := range next {
		next[i] = start.Add(time.Duration(random.Int64N(int64(1200 * time.Millisecond))))
	}
	announcedAt, sent := make(map[uint64]time.Time), make(fleetsync.SentLiveness)
	allBytes, dueBytes, oldest := 0, 0, time.Duration(0)
	const rounds = 100
	for round := range rounds {
		now := start.Add(time.Duration(round) * 700 * time.Millisecond)
		for i := range next {
			for ; next[i].Before(now); next[i] = next[i].Add(1200 * time.Millisecond) {
				// A sixth of the servers stays with this replica, as with a kept connection.
				if i%replicas == 0 || random.IntN(replicas) == 0 {
					announcedAt[uint64(i)<<32+1] = next[i]
				}
			}
		}
		for hash, at := range announcedAt {
			if now.Sub(at) > registry.SilentAfter {
				delete(announcedAt, hash)
			}
		}
		due := sent.Due(announcedAt, now)
		if round > 10 {
			allBytes, dueBytes = allBytes+digestBytes(announcedAt, now), dueBytes+digestBytes(due, now)
			for hash, at := range sent {
				if _, isDue := due[hash]; !isDue && int(hash>>32)%replicas == 0 {
					oldest = max(oldest, now.Add(700*time.Millisecond).Sub(at))
				}
			}
		}
		sent.Record(due, announcedAt)
	}
	t.Logf("to each replica: %d bytes a digest with all, %d with those due; oldest knowledge %v", allBytes/(rounds-11), dueBytes/(rounds-11), oldest)
	g.Expect(dueBytes * 2).To(BeNumerically("<", allBytes))
	g.Expect(oldest).To(BeNumerically("<", 3*time.Second))
}

func digestBytes(announcedAt map[uint64]time.Time, now time.Time) int {
	request := &fleetpb.ShareRequest{}
	for hash, at := range announcedAt {
		request.Alive = append(request.Alive, hash)
		request.AgeMs = append(request.AgeMs, uint32(now.Sub(at).Milliseconds()))
	}
	return proto.Size(request)
}

// TestReplicaWithoutAnAnswerIsToldAgain guards against a digest that was lost and is not repeated.
func TestReplicaWithoutAnAnswerIsToldAgain(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	announcedAt, sent := map[uint64]time.Time{1: now}, make(fleetsync.SentLiveness)
	g.Expect(sent.Due(announcedAt, now)).To(HaveLen(1))
	g.Expect(sent.Due(announcedAt, now.Add(time.Second))).To(HaveLen(1), "the first call has failed")
	sent.Record(announcedAt, announcedAt)
	g.Expect(sent.Due(announcedAt, now.Add(5*time.Second))).To(BeEmpty(), "no announcement since")
	sent.Record(nil, map[uint64]time.Time{})
	g.Expect(sent).To(BeEmpty(), "the server announces itself elsewhere")
}

// TestLoadsOfAnotherReplicaAreNotSentBack guards against loads that two replicas exchange until
// they are too old: at 3,000 servers that is 33 KB to each replica each 0.7 s.
func TestLoadsOfAnotherReplicaAreNotSentBack(t *testing.T) {
	g := NewWithT(t)
	one, two := reserveAddress(t), reserveAddress(t)
	service := newTestService(t, newFakeReplica(one, two), one)
	loads := make(map[uint64]fleetsync.ServerLoad)
	for i := range 3000 {
		loads[uint64(i+1)<<40] = fleetsync.ServerLoad{Requests: i % 12, ReportedAt: time.Now()}
	}
	_, err := service.Share(context.Background(), &fleetpb.ShareRequest{Instance: two, Loads: fleetsync.ToLoads(loads, time.Now())})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(service.ShareRequestTo(two).GetLoads().GetServers()).To(BeEmpty())
	t.Logf("%d bytes were sent back", proto.Size(fleetsync.ToLoads(loads, time.Now())))

	own := map[uint64]fleetsync.ServerLoad{7: {Requests: 3, ReportedAt: time.Now()}}
	response, err := service.Report(context.Background(), &fleetpb.ReportRequest{Instance: "r", Loads: fleetsync.ToLoads(own, time.Now())})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(service.ShareRequestTo(two).GetLoads().GetServers()).To(ConsistOf(uint64(7)))
	g.Expect(response.GetLoads().GetServers()).To(HaveLen(3001), "routers still receive the loads of all replicas")
}

// TestForwardedLoadsDoNotLookNewer guards against ages that are rounded down: a load would replace
// the same load with each transmission.
func TestForwardedLoadsDoNotLookNewer(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	reportedAt := now.Add(-1500 * time.Microsecond)
	received := fleetsync.FromLoads(fleetsync.ToLoads(map[uint64]fleetsync.ServerLoad{1: {Requests: 1, ReportedAt: reportedAt}}, now), now)
	g.Expect(received[1].ReportedAt).NotTo(BeTemporally(">", reportedAt))
}

// TestSmallFleetRepeatsAllServers guards against servers that count as silent in a small fleet after a
// replica has frozen: the others have to know their latest announcements.
func TestSmallFleetRepeatsAllServers(t *testing.T) {
	g := NewWithT(t)
	for servers, repeated := range map[int]int{100: 100, 2000: 0} {
		one, two := reserveAddress(t), reserveAddress(t)
		first, second := newTestService(t, newFakeReplica(one, two), one), newTestService(t, newFakeReplica(one, two), two)
		for i := range servers {
			g.Expect(first.Announce(context.Background(), testServer(i))).To(Succeed())
		}
		serve(t, second, two)
		g.Expect(first.ShareAllWithDigest(context.Background())).To(Equal(1))
		g.Expect(first.ShareRequestTo(two).GetAlive()).To(HaveLen(repeated), "%d servers", servers)
	}
}
