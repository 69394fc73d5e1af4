package fleetsync_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"peridotwinch.example/peridotwinch/internal/fleetsync"
	"peridotwinch.example/peridotwinch/internal/registry"
	"peridotwinch.example/peridotwinch/internal/rpc/fleetpb"
)

// fleetOf returns a replica with n servers of pool-a and 20 of another pool, and the loads of all: a
// server of pool-a has i % 10 requests, the tenth of them with 9.
func fleetOf(t *testing.T, n int) (*fleetsync.Service, map[uint64]fleetsync.ServerLoad) {
	g := NewWithT(t)
	own := reserveAddress(t)
	service := newTestService(t, newFakeReplica(own), own)
	loads := make(map[uint64]fleetsync.ServerLoad, n)
	for i := range n + 20 {
		server := testServer(i)
		if i >= n {
			server.Pool = "pool-b"
		}
		g.Expect(service.Announce(context.Background(), server)).To(Succeed())
		loads[server.Hash()] = fleetsync.ServerLoad{Requests: i % 10, ReportedAt: time.Now()}
	}
	return service, loads
}

// report reports loads to a replica and returns the loads in the response.
func report(t *testing.T, service *fleetsync.Service, loads map[uint64]fleetsync.ServerLoad) *fleetpb.Loads {
	response, err := service.Report(context.Background(), &fleetpb.ReportRequest{Instance: "r", Loads: fleetsync.ToLoads(loads, time.Now())})
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return response.GetLoads()
}

// TestLoadsOfLargeFleetAreBounded guards against reports that fill the link: 33 KB with each exchange
// at 3,000 servers. The highest loads, the mean and small pools remain.
func TestLoadsOfLargeFleetAreBounded(t *testing.T) {
	g := NewWithT(t)
	service, loads := fleetOf(t, 3000)
	received := report(t, service, loads)
	t.Logf("3,000 servers: %d bytes in a response, %d with all loads", proto.Size(received), proto.Size(fleetsync.ToLoads(loads, time.Now())))
	g.Expect(proto.Size(received)).To(BeNumerically("<", 4000))
	sum := fleetsync.FromPoolLoads(received, time.Now())["pool-a"]
	g.Expect(sum.Servers).To(Equal(3000))
	g.Expect(float64(sum.Requests) / 3000).To(Equal(4.5))
	g.Expect(received.GetPools()).To(HaveLen(1), "all loads of a small pool are sent")
	byServer := fleetsync.FromLoads(received, time.Now())
	high, small := 0, 0
	for hash, load := range byServer {
		if load.Requests == 9 {
			high++
		}
		g.Expect(loads[hash].Requests).To(Equal(load.Requests))
	}
	for i := range 20 {
		server := testServer(3000 + i)
		server.Pool = "pool-b"
		if _, found := byServer[server.Hash()]; found {
			small++
		}
	}
	g.Expect(high).To(BeNumerically(">=", 128))
	g.Expect(small).To(Equal(20))
}

// TestLoadThatFallsIsSent guards against routers that avoid a server for 3 s after its load has fallen.
func TestLoadThatFallsIsSent(t *testing.T) {
	g := NewWithT(t)
	service, loads := fleetOf(t, 3000)
	first := fleetsync.FromLoads(report(t, service, loads), time.Now())
	time.Sleep(260 * time.Millisecond)
	fallen := make(map[uint64]fleetsync.ServerLoad)
	for hash, load := range first {
		if load.Requests == 9 && len(fallen) < 50 {
			fallen[hash] = fleetsync.ServerLoad{Requests: 1, ReportedAt: time.Now()}
		}
	}
	g.Expect(fallen).To(HaveLen(50))
	second := fleetsync.FromLoads(report(t, service, fallen), time.Now())
	for hash := range fallen {
		g.Expect(second).To(HaveKey(hash))
		g.Expect(second[hash].Requests).To(Equal(1))
	}
}

// TestFallenLoadsPrecedeLoadsThatAreStillHigh guards against a fallen load that is not sent, because loads
// which were sent as high ones before and have not changed take its place.
func TestFallenLoadsPrecedeLoadsThatAreStillHigh(t *testing.T) {
	g := NewWithT(t)
	const servers, high = 3000, 9
	hashes, requests := make([]uint64, servers), make(map[uint64]int, servers)
	for i := range hashes {
		hashes[i], requests[uint64(i)] = uint64(i), i%10
	}
	var selection fleetsync.LoadSelection
	now := time.Now()
	// The first selection has the high loads at the end of the list, and the newest loads.
	reversed := slices.Clone(hashes)
	slices.Reverse(reversed)
	var fallen []uint64
	for hash := range selection.Choose(reversed, requests, now) {
		if requests[hash] == high && (hash < 1000 || len(fallen) < 40) {
			fallen = append(fallen, hash)
		}
	}
	for _, hash := range fallen {
		requests[hash] = 1
	}
	second := selection.Choose(hashes, requests, now.Add(300*time.Millisecond))
	for _, hash := range fallen {
		g.Expect(second).To(HaveKey(hash))
	}
}

// TestLoadsUpTo1000ServersAreSentWhole guards against a changed placement in smaller fleets.
func TestLoadsUpTo1000ServersAreSentWhole(t *testing.T) {
	g := NewWithT(t)
	service, loads := fleetOf(t, 1000)
	received := report(t, service, loads)
	g.Expect(received.GetServers()).To(HaveLen(1020))
	g.Expect(received.GetPools()).To(BeEmpty())
}

// TestLoadsReachReplicasIndirectlyUpTo1000Servers guards against replicas of a smaller fleet without the loads
// of another one that they cannot reach: a third replica has to pass them on. In a large fleet it does not.
func TestLoadsReachReplicasIndirectlyUpTo1000Servers(t *testing.T) {
	g := NewWithT(t)
	for servers, passedOn := range map[int]int{1000: 1, 3000: 0} {
		own, sender, third := reserveAddress(t), reserveAddress(t), reserveAddress(t)
		service := newTestService(t, newFakeReplica(own, sender, third), own)
		for i := range servers {
			g.Expect(service.Announce(context.Background(), testServer(i))).To(Succeed())
		}
		first := testServer(0)
		loads := map[uint64]fleetsync.ServerLoad{first.Hash(): {Requests: 7, ReportedAt: time.Now()}}
		_, err := service.Share(context.Background(), &fleetpb.ShareRequest{Instance: sender, Loads: fleetsync.ToLoads(loads, time.Now())})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(service.ShareRequestTo(third).GetLoads().GetServers()).To(HaveLen(passedOn), "%d servers", servers)
		g.Expect(service.ShareRequestTo(sender).GetLoads().GetServers()).To(BeEmpty())
	}
}

// TestMeanCountsLoadsOfAllReplicas guards against a mean of one replica's routers only, and against one
// that counts the selected loads of other replicas, which are the highest.
func TestMeanCountsLoadsOfAllReplicas(t *testing.T) {
	g := NewWithT(t)
	service, loads := fleetOf(t, 3000)
	report(t, service, loads)
	time.Sleep(260 * time.Millisecond)
	_, err := service.Share(context.Background(), &fleetpb.ShareRequest{Instance: "other", Loads: &fleetpb.Loads{
		Servers: []uint64{1}, Requests: []uint32{12}, AgeMs: []uint32{0},
		Pools: []*fleetpb.PoolLoad{{Pool: "pool-a", Servers: 1000, Requests: 8500}},
	}})
	g.Expect(err).NotTo(HaveOccurred())
	sum := fleetsync.FromPoolLoads(report(t, service, nil), time.Now())["pool-a"]
	g.Expect(sum.Servers).To(Equal(4000))
	g.Expect(sum.Requests).To(Equal(3000*9/2 + 8500))
}

// TestSumsOfRemovedReplicasAreRemoved guards against memory that grows with each instance that has sent loads.
func TestSumsOfRemovedReplicasAreRemoved(t *testing.T) {
	g := NewWithT(t)
	sums, now := fleetsync.NewPoolLoads(), time.Now()
	for i := range 100 {
		now = now.Add(time.Second)
		sums.Record(fmt.Sprint("replica-", i), map[string]fleetsync.PoolLoad{"pool-a": {Servers: 1, ComputedAt: now}}, now)
		sums.Record("other", nil, now)
	}
	g.Expect(sums.Senders()).To(Equal(5), "those of the last 3 s")
}

// TestPoolsAreGroupedWithoutSpareMemory guards against the memory of all loads for each pool.
func TestPoolsAreGroupedWithoutSpareMemory(t *testing.T) {
	service, loads := fleetOf(t, 200)
	NewWithT(t).Expect(service.ByPoolCapacity(loads)).To(Equal(220))
}

// TestRelayForwardsPartOfTheLoads guards against a relay that sends its followers all loads that it has
// received since, and against one that leaves out the means.
func TestRelayForwardsPartOfTheLoads(t *testing.T) {
	g := NewWithT(t)
	entries := make([]registry.Entry, 0, 3000)
	loads := make(map[uint64]fleetsync.ServerLoad)
	for i := range 3000 {
		entries = append(entries, registry.Entry{Server: testServer(i), LastAnnounced: time.Now()})
		loads[entries[i].Hash()] = fleetsync.ServerLoad{Requests: i % 10, ReportedAt: time.Now()}
	}
	r := fleetsync.NewRelay("127.0.0.1:1", newFakeReplica(), func() []registry.Entry { return entries }, newTestLosses(), 16, 0, zerolog.Nop())
	r.Admit("follower")
	r.RecordLoads(loads, time.Now())
	request := &fleetpb.ReportRequest{Instance: "follower", Loads: fleetsync.ToLoads(nil, time.Now())}
	response, err := r.Report(context.Background(), request)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(response.GetLoads().GetServers()).To(HaveLen(3000), "the source sends all loads")
	r.RecordPoolLoads(map[string]fleetsync.PoolLoad{"pool-a": {Servers: 3000, Requests: 13500, ComputedAt: time.Now()}})
	response, err = r.Report(context.Background(), request)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(response.GetLoads().GetServers()).To(HaveLen(256))
	g.Expect(fleetsync.FromPoolLoads(response.GetLoads(), time.Now())["pool-a"].Requests).To(Equal(13500))
}

// BenchmarkReport measures the exchange of loads with a router at a control replica, with 3,000
// servers: with the selection that other routers have received, and with a new one, of which there are
// at most 4 per second.
func BenchmarkReport(b *testing.B) {
	for _, isNew := range []bool{false, true} {
		b.Run(fmt.Sprint("new=", isNew), func(b *testing.B) { benchmarkReport(b, isNew) })
	}
}

func benchmarkReport(b *testing.B, isNew bool) {
	service := newBenchmarkService(b, 3000)
	loads, own := make(map[uint64]fleetsync.ServerLoad), make(map[uint64]fleetsync.ServerLoad)
	for i := range 3000 {
		server := testServer(i)
		// The loads do not expire during the benchmark.
		loads[server.Hash()] = fleetsync.ServerLoad{Requests: i % 10, ReportedAt: time.Now().Add(time.Hour)}
		if i < 150 {
			own[server.Hash()] = loads[server.Hash()]
		}
	}
	send := func(loads *fleetpb.Loads) {
		response, _ := service.Report(context.Background(), &fleetpb.ReportRequest{Instance: "r", Loads: loads})
		_, _ = proto.Marshal(response)
	}
	send(fleetsync.ToLoads(loads, time.Now()))
	message := fleetsync.ToLoads(own, time.Now())
	b.ReportAllocs()
	for b.Loop() {
		if isNew {
			service.ExpireSelections()
		}
		send(message)
	}
}
