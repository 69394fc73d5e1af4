package claims

import (
	"fmt"
	"testing"
	"time"

	"peridotwinch.example/peridotwinch/internal/ledger/quorum"
)

// BenchmarkRecovery reports how long a replica takes from its start with an
// empty folder until it grants again, by the number of claims.
func BenchmarkRecovery(b *testing.B) {
	for _, claims := range []int{1_000, 100_000, 400_000} {
		b.Run(fmt.Sprintf("claims=%d", claims), func(b *testing.B) {
			bed := benchBed(b, b.TempDir(), "pwani-a", "pwani-a", "pwani-a")
			c := quorum.New(quorum.Members{Domain: "pwani-a", Fleet: addresses(bed, nil)})
			claimNew(b, c, "fill", claims, 256)
			lost := bed.Daemons["ledger-2"]
			b.ResetTimer()
			for range b.N {
				b.StopTimer()
				if err := lost.Kill(); err != nil {
					b.Fatal(err)
				}
				if err := bed.LoseDisk(lost.Name); err != nil {
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
