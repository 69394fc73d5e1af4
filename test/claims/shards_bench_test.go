package claims

import (
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"syscall"
	"testing"
	"time"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/layout"
	"peridotwinch.example/peridotwinch/internal/ledger"
	"peridotwinch.example/peridotwinch/internal/ledger/quorum"
	"peridotwinch.example/peridotwinch/internal/settings"
	"peridotwinch.example/peridotwinch/internal/testcluster"
)

const (
	fleetDomains = 24
	shardCallers = 64
	shardCount   = 8
)

// BenchmarkShards claims customers' keys at 24 replicas, each in its own failure
// domain and behind a link with a one-way delay of 5 ms. It compares one group of
// all replicas with shards of 3 and of 5 replicas.
func BenchmarkShards(b *testing.B) {
	for _, replicas := range []int{0, 3, 5} {
		name := "one-group"
		if replicas > 0 {
			name = fmt.Sprintf("replicas=%d", replicas)
		}
		b.Run(name, func(b *testing.B) {
			cluster := startShardCluster(b, replicas)
			members := quorum.MembersFrom(&cluster.Daemons["l-00"].Settings)
			delayMembers(b, &members)
			c := quorum.New(members)
			for shard := range max(len(members.Shards), 1) {
				if err := testcluster.Eventually(func() error { return claimGrantedInShard(c, shard, len(members.Shards)) }); err != nil {
					b.Fatal(err)
				}
			}
			runShardClaims(b, cluster, c)
		})
	}
}

// startShardCluster starts the replicas with shards of this many replicas each, as
// the layout assigns them; 0 is one group of all.
func startShardCluster(b *testing.B, replicas int) *testcluster.Cluster {
	b.Helper()
	spec := testcluster.Spec{}
	inventory := &layout.Inventory{NameSchemes: []api.Scheme{"engine"}, DataRoot: b.TempDir()}
	for i := range fleetDomains {
		name, domain := fmt.Sprintf("l-%02d", i), fmt.Sprintf("d-%02d", i)
		roles := []settings.Role{settings.RoleLedger}
		spec.Daemons = append(spec.Daemons, testcluster.DaemonSpec{Instance: name, FailureDomain: domain, Roles: roles})
		inventory.Instances = append(inventory.Instances, layout.Instance{
			Instance: name, FailureDomain: domain, IP: "127.0.0.1", FirstPort: 9000, Roles: roles,
		})
	}
	if replicas > 0 {
		inventory.LedgerShards = layout.LedgerShards{Count: shardCount, Replicas: replicas}
	}
	instances, err := inventory.Settings()
	if err != nil {
		b.Fatal(err)
	}
	spec.LedgerShards = instances[0].LedgerShards
	cluster, err := testcluster.New(b.TempDir(), spec)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(cluster.Close)
	if err := cluster.Start(); err != nil {
		b.Fatal(err)
	}
	return cluster
}

// delayMembers replaces each replica's address by that of a delayed relay.
func delayMembers(b *testing.B, members *quorum.Members) {
	addresses := make(map[string]string)
	for i, one := range members.Fleet {
		members.Fleet[i].Address = delayedRelay(b)(one.Address)
		addresses[one.Instance] = members.Fleet[i].Address
	}
	for _, shard := range members.Shards {
		for i, one := range shard {
			shard[i].Address = addresses[one.Instance]
		}
	}
}

// claimGrantedInShard claims a new key of the shard and returns an error unless it
// is granted.
func claimGrantedInShard(c ledger.Claimer, shard, shards int) error {
	for i := 0; ; i++ {
		key := customerKey(fmt.Sprintf("first-%d-%d", time.Now().UnixNano(), i))
		if key.Hash().Shard(max(shards, 1)) == shard {
			return claimGranted(c, key)
		}
	}
}

func runShardClaims(b *testing.B, cluster *testcluster.Cluster, c ledger.Claimer) {
	for run, callers := range []int{1, shardCallers} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			// Replicas beyond the majority may still process earlier claims.
			time.Sleep(time.Second)
			wire, disk, replicas, client := wireBytes(), diskBytes(b, cluster), cpuSeconds(b, cluster), ownCPUSeconds()
			started := time.Now()
			histogram := claimNewKeys(b, c, fmt.Sprintf("run-%d-%d", run, b.N), b.N, callers)
			elapsed := time.Since(started)
			ownCPU := ownCPUSeconds() - client
			time.Sleep(time.Second)
			reportLatencies(b, histogram, elapsed)
			n := float64(b.N)
			b.ReportMetric(float64(wireBytes()-wire)/n, "wire-B/claim")
			b.ReportMetric(float64(diskBytes(b, cluster)-disk)/n, "disk-B/claim")
			b.ReportMetric((cpuSeconds(b, cluster)-replicas)/n*1e6, "replicas-us/claim")
			b.ReportMetric(ownCPU/n*1e6, "client-us/claim")
		})
	}
}

var cpuPattern = regexp.MustCompile(`(?m)^process_cpu_seconds_total (\S+)`)

// cpuSeconds returns the CPU time of all replicas.
func cpuSeconds(b *testing.B, cluster *testcluster.Cluster) float64 {
	total := 0.0
	for _, d := range cluster.Daemons {
		resp, err := http.Get("http://" + d.Settings.Listen.Platform + "/metrics")
		if err != nil {
			b.Fatal(err)
		}
		raw, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		found := cpuPattern.FindSubmatch(raw)
		if err != nil || found == nil {
			b.Fatal("metrics lack process_cpu_seconds_total:", err)
		}
		seconds, _ := strconv.ParseFloat(string(found[1]), 64)
		total += seconds
	}
	return total
}

// ownCPUSeconds returns the CPU time of this process: the client and the relays.
func ownCPUSeconds() float64 {
	usage := syscall.Rusage{}
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()).Seconds()
}
