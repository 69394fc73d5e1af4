package membership

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"peridotwinch.example/peridotwinch/api"
)

func announce(t *Table, now time.Time, server int, sequence uint64) {
	t.Merge(now, api.Announcement{
		Address: fmt.Sprintf("10.0.0.%d:80", server), Incarnation: 1, Sequence: sequence,
		Pool: "engine:models", State: api.ServerServing, Slots: 8,
	})
}

// TestPresentMatchesTable guards against a stale cache of the present servers. It
// compares the cache with the table while servers join, become silent, return and
// are deleted.
func TestPresentMatchesTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &Service{table: NewTable(3 * time.Second)}
		now := time.Unix(1000, 0)
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			pause := rapid.SampledFrom([]time.Duration{time.Millisecond, time.Second, 4 * time.Second, TombstoneRetention})
			now = now.Add(pause.Draw(t, "pause"))
			announce(s.table, now, rapid.IntRange(1, 4).Draw(t, "server"), uint64(step+1))
			s.table.Advance(now)
			addresses, _ := s.present()
			servers := s.table.Servers()
			if len(addresses) != len(servers) {
				t.Fatalf("present returned %v, the table has %v", addresses, servers)
			}
			for i, server := range servers {
				if addresses[i] != server.Address {
					t.Fatalf("present returned %v, the table has %v", addresses, servers)
				}
			}
		}
	})
}

// BenchmarkPresentAtTargetSize measures present for a failure domain of the target
// size.
func BenchmarkPresentAtTargetSize(b *testing.B) {
	s := &Service{table: NewTable(time.Hour)}
	for i := range 167 {
		announce(s.table, time.Now(), i, 1)
	}
	b.ReportAllocs()
	for b.Loop() {
		s.present()
	}
	NewWithT(b).Expect(s.presentCache.addresses).To(HaveLen(167))
}
