package claims

import (
	"fmt"
	"testing"
	"time"

	"peridotwinch.example/peridotwinch/internal/ledger/quorum"
)

// BenchmarkRecovery reports the time from a replica's start with an empty data
// directory until it is active again, for several numbers of stored claims.
func BenchmarkRecovery(b *testing.B) {
	for _, claims := range []int{1_000, 100_000, 400_000} {
		b.Run(fmt.Sprintf("claims=%d", claims), func(b *testing.B) {
			cluster := startBenchCluster(b, b.TempDir(), "pwani-a", "pwani-a", "pwani-a")
			c := quorum.New(quorum.Members{Domain: "pwani-a", Fleet: replicaMembers(cluster, nil)})
			claimNewKeys(b, c, "fill", claims, 256)
			lost := cluster.Daemons["ledger-2"]
			b.ResetTimer()
			for range b.N {
				b.StopTimer()
				if err := lost.Kill(); err != nil {
					b.Fatal(err)
				}
				if err := cluster.RemoveDataDir(lost.Name); err != nil {
					b.Fatal(err)
				}
				b.StartTimer()
				started := time.Now()
				if err := lost.Start(); err != nil {
					b.Fatal(err)
				}
				if err := waitActive(lost); err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(time.Since(started).Seconds(), "s-until-active")
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}
