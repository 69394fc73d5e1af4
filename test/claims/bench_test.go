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

// Setting of the measurements.
const (
	linkDelay = 5 * time.Millisecond
	// memoryFolder is a file system without a disk: a sync there costs nothing.
	memoryFolder = "/dev/shm"
)

// histogramMax bounds the latencies that are told apart, in microseconds.
const histogramMax = 60_000_000

var concurrencies = []int{1, 16, 64, 256}

// BenchmarkClaimInDomain claims minted keys at three replicas without a delay.
func BenchmarkClaimInDomain(b *testing.B) {
	for _, storage := range storages(b) {
		b.Run(storage.name, func(b *testing.B) {
			bed := benchBed(b, storage.dir, "pwani-a", "pwani-a", "pwani-a")
			c := quorum.New(quorum.Members{Domain: "pwani-a", Fleet: addresses(bed, nil),
				Domains: map[string][]quorum.Member{"pwani-a": addresses(bed, nil)}})
			runClaims(b, bed, c)
		})
	}
}

// BenchmarkClaimFleetWide claims keys at one replica nearby and two others
// behind links of 5 ms each way.
func BenchmarkClaimFleetWide(b *testing.B) {
	for _, storage := range storages(b) {
		b.Run(storage.name, func(b *testing.B) {
			bed := benchBed(b, storage.dir, "pwani-a", "pwani-b", "pwani-c")
			c := quorum.New(quorum.Members{Domain: "pwani-a", Fleet: addresses(bed, delayed(b))})
			runClaims(b, bed, c)
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

func benchBed(b *testing.B, dir string, domains ...string) *testcluster.Cluster {
	b.Helper()
	spec := testcluster.Spec{}
	for i, domain := range domains {
		spec.Daemons = append(spec.Daemons, testcluster.DaemonSpec{
			Instance: fmt.Sprintf("ledger-%d", i+1), FailureDomain: domain, Roles: []settings.Role{settings.RoleLedger},
		})
	}
	bed, err := testcluster.New(dir, spec)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(bed.Close)
	if err := bed.Start(); err != nil {
		b.Fatal(err)
	}
	if err := waitAllActive(bed); err != nil {
		b.Fatal(err)
	}
	return bed
}

// addresses returns the replicas' addresses; relay changes all but the first.
func addresses(bed *testcluster.Cluster, relay func(target string) string) []quorum.Member {
	var out []quorum.Member
	for i, d := range bed.WithRole(settings.RoleLedger) {
		address := d.Settings.Listen.Peers
		if i > 0 && relay != nil {
			address = relay(address)
		}
		out = append(out, quorum.Member{Instance: d.Name, Address: address})
	}
	return out
}

func delayed(b *testing.B) func(target string) string {
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

func runClaims(b *testing.B, bed *testcluster.Cluster, c *quorum.Claimer) {
	var run atomic.Int64
	for _, concurrency := range concurrencies {
		b.Run(fmt.Sprintf("callers=%d", concurrency), func(b *testing.B) {
			prefix := fmt.Sprintf("run-%d", run.Add(1))
			wire, disk := wireBytes(), diskBytes(b, bed)
			started := time.Now()
			histogram := claimNew(b, c, prefix, b.N, concurrency)
			elapsed := time.Since(started)
			report(b, histogram, elapsed)
			// The third replica may still be writing; its last batch is small.
			b.ReportMetric(float64(wireBytes()-wire)/float64(b.N), "wire-B/claim")
			b.ReportMetric(float64(diskBytes(b, bed)-disk)/float64(b.N)/3, "disk-B/claim/replica")
		})
	}
}

// claimNew claims new keys and returns the latencies in microseconds.
func claimNew(b *testing.B, c ledger.Claimer, prefix string, count, concurrency int) *hdrhistogram.Histogram {
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
					b.Errorf("verdict %d", decision.Verdict)
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

func report(b *testing.B, histogram *hdrhistogram.Histogram, elapsed time.Duration) {
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(histogram.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(histogram.ValueAtQuantile(99))/1000, "p99-ms")
	b.ReportMetric(float64(b.N)/elapsed.Seconds(), "claims/s")
}

// wireBytes returns the bytes between this process and all replicas so far.
func wireBytes() uint64 {
	var total uint64
	for _, direction := range []string{"in", "out"} {
		name := fmt.Sprintf(`peridotwinch_control_bytes_total{purpose="ledger",direction=%q}`, direction)
		total += metrics.GetOrCreateCounter(name).Get()
	}
	return total
}

func diskBytes(b *testing.B, bed *testcluster.Cluster) int64 {
	var total int64
	for _, d := range bed.Daemons {
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

// BenchmarkSync writes and syncs one claim's frame at a time, as a yardstick
// for the disk.
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
	report(b, histogram, time.Since(started))
}
