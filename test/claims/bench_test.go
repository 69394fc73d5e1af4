package claims

import (
	"context"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/VictoriaMetrics/metrics"

	"peridotwinch.example/peridotwinch/internal/ledger"
	"peridotwinch.example/peridotwinch/internal/ledger/quorum"
	"peridotwinch.example/peridotwinch/internal/settings"
	"peridotwinch.example/peridotwinch/internal/testcluster"
)

const (
	// linkDelay is the one-way delay of a link between failure domains.
	linkDelay = 5 * time.Millisecond
	// memoryFolder is on a memory file system, where a sync costs nothing.
	memoryFolder = "/dev/shm"
)

// histogramMax is the highest latency that the histograms record, in microseconds.
const histogramMax = 60_000_000

var concurrencies = []int{1, 16, 64, 256}

// BenchmarkClaimInDomain claims keys at three replicas of one failure domain,
// over links without delay.
func BenchmarkClaimInDomain(b *testing.B) {
	for _, storage := range storages(b) {
		b.Run(storage.name, func(b *testing.B) {
			cluster := startBenchCluster(b, storage.dir, "pwani-a", "pwani-a", "pwani-a")
			c := quorum.New(quorum.Members{Domain: "pwani-a", Fleet: replicaMembers(cluster, nil),
				Domains: map[string][]quorum.Member{"pwani-a": replicaMembers(cluster, nil)}})
			runClaims(b, cluster, c)
		})
	}
}

// BenchmarkClaimFleetWide claims keys at one local replica and two remote ones
// behind links with a one-way delay of 5 ms.
func BenchmarkClaimFleetWide(b *testing.B) {
	for _, storage := range storages(b) {
		b.Run(storage.name, func(b *testing.B) {
			cluster := startBenchCluster(b, storage.dir, "pwani-a", "pwani-b", "pwani-c")
			c := quorum.New(quorum.Members{Domain: "pwani-a", Fleet: replicaMembers(cluster, delayedRelay(b))})
			runClaims(b, cluster, c)
		})
	}
}

type storage struct{ name, dir string }

func storages(b *testing.B) []storage {
	b.Helper()
	memory, err := os.MkdirTemp(memoryFolder, "claims")
	if err != nil {
		b.Skip("no file system in memory")
	}
	b.Cleanup(func() { _ = os.RemoveAll(memory) })
	return []storage{{"disk", b.TempDir()}, {"nosync", memory}}
}

// startBenchCluster starts a ledger replica in each of the domains, with its
// data below dir, and waits until all are active.
func startBenchCluster(b *testing.B, dir string, domains ...string) *testcluster.Cluster {
	b.Helper()
	spec := testcluster.Spec{}
	for i, domain := range domains {
		spec.Daemons = append(spec.Daemons, testcluster.DaemonSpec{
			Instance: fmt.Sprintf("ledger-%d", i+1), FailureDomain: domain, Roles: []settings.Role{settings.RoleLedger},
		})
	}
	cluster, err := testcluster.New(dir, spec)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(cluster.Close)
	if err := cluster.Start(); err != nil {
		b.Fatal(err)
	}
	if err := waitAllActive(cluster); err != nil {
		b.Fatal(err)
	}
	return cluster
}

// replicaMembers returns the cluster's replicas as members of a group. If relay is
// not nil, it maps the addresses of all but the first.
func replicaMembers(cluster *testcluster.Cluster, relay func(target string) string) []quorum.Member {
	var out []quorum.Member
	for i, d := range cluster.WithRole(settings.RoleLedger) {
		address := d.Settings.Listen.Peers
		if i > 0 && relay != nil {
			address = relay(address)
		}
		out = append(out, quorum.Member{Instance: d.Name, Address: address})
	}
	return out
}

// delayedRelay returns a function that starts a relay with linkDelay in front of
// a target and returns the relay's address.
func delayedRelay(b *testing.B) func(target string) string {
	return func(target string) string {
		relay, err := testcluster.NewRelay(target)
		if err != nil {
			b.Fatal(err)
		}
		relay.SetDelay(linkDelay)
		b.Cleanup(relay.Close)
		return relay.Address()
	}
}

func runClaims(b *testing.B, cluster *testcluster.Cluster, c *quorum.Claimer) {
	var run atomic.Int64
	for _, concurrency := range concurrencies {
		b.Run(fmt.Sprintf("callers=%d", concurrency), func(b *testing.B) {
			prefix := fmt.Sprintf("run-%d", run.Add(1))
			wire, disk := wireBytes(), diskBytes(b, cluster)
			started := time.Now()
			histogram := claimNewKeys(b, c, prefix, b.N, concurrency)
			elapsed := time.Since(started)
			reportLatencies(b, histogram, elapsed)
			// The third replica may still write its last batch, which is small.
			b.ReportMetric(float64(wireBytes()-wire)/float64(b.N), "wire-B/claim")
			b.ReportMetric(float64(diskBytes(b, cluster)-disk)/float64(b.N)/3, "disk-B/claim/replica")
		})
	}
}

// claimNewKeys claims count new keys with this many concurrent callers and
// returns the latencies in microseconds.
func claimNewKeys(b *testing.B, c ledger.Claimer, prefix string, count, concurrency int) *hdrhistogram.Histogram {
	var next atomic.Int64
	var mu sync.Mutex
	total := hdrhistogram.New(1, histogramMax, 3)
	var group sync.WaitGroup
	for range concurrency {
		group.Go(func() {
			own := hdrhistogram.New(1, histogramMax, 3)
			for i := next.Add(1); i <= int64(count); i = next.Add(1) {
				started := time.Now()
				key := customerKey(fmt.Sprintf("%s-%d", prefix, i))
				decision := c.Claim(context.Background(), key, ledger.NewAttemptID(), ledger.Digest{1})
				if decision.Verdict != ledger.VerdictGranted {
					b.Errorf("claim returned verdict %d, want VerdictGranted", decision.Verdict)
				}
				_ = own.RecordValue(time.Since(started).Microseconds())
			}
			mu.Lock()
			defer mu.Unlock()
			total.Merge(own)
		})
	}
	group.Wait()
	return total
}

func reportLatencies(b *testing.B, histogram *hdrhistogram.Histogram, elapsed time.Duration) {
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(histogram.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(histogram.ValueAtQuantile(99))/1000, "p99-ms")
	b.ReportMetric(float64(b.N)/elapsed.Seconds(), "claims/s")
}

// wireBytes returns the bytes exchanged between this process and all replicas
// since its start.
func wireBytes() uint64 {
	var total uint64
	for _, direction := range []string{"in", "out"} {
		name := fmt.Sprintf(`peridotwinch_control_bytes_total{purpose="ledger",direction=%q}`, direction)
		total += metrics.GetOrCreateCounter(name).Get()
	}
	return total
}

// diskBytes returns the size of all files in the replicas' data directories.
func diskBytes(b *testing.B, cluster *testcluster.Cluster) int64 {
	var total int64
	for _, d := range cluster.Daemons {
		err := filepath.WalkDir(d.Settings.DataDir, func(_ string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() {
				return err
			}
			info, err := entry.Info()
			if err == nil {
				total += info.Size()
			}
			return err
		})
		if err != nil {
			b.Fatal(err)
		}
	}
	return total
}

// BenchmarkSync writes and syncs one frame of a claim's size at a time, as a
// baseline for the disk.
func BenchmarkSync(b *testing.B) {
	file, err := os.Create(filepath.Join(b.TempDir(), "sync"))
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	histogram := hdrhistogram.New(1, histogramMax, 3)
	frame := make([]byte, 128)
	started := time.Now()
	for range b.N {
		before := time.Now()
		if _, err := file.Write(frame); err != nil {
			b.Fatal(err)
		}
		if err := file.Sync(); err != nil {
			b.Fatal(err)
		}
		_ = histogram.RecordValue(time.Since(before).Microseconds())
	}
	reportLatencies(b, histogram, time.Since(started))
}
