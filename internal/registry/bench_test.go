package registry_test

import (
	"fmt"
	"testing"

	"peridotwinch.example/peridotwinch/internal/registry"
)

func benchServer(i int) registry.Server {
	return registry.Server{
		ID: fmt.Sprintf("i-%08d", i), StartedMS: int64(1000 + i), Sequence: 1, Pool: "engines", Address: fmt.Sprintf("10.1.%d.%d:8080", i/250, i%250),
		Domain: "zone-1", Version: "v1", Slots: 64, State: registry.StateReady, Models: []registry.Model{{Name: "m", Version: 1}},
	}
}

// BenchmarkFleetStart measures the first announcements of 3,000 servers.
func BenchmarkFleetStart(b *testing.B) {
	for b.Loop() {
		table := registry.New()
		for i := range 3000 {
			table.Merge(benchServer(i), start)
		}
	}
}

// BenchmarkDigest measures the digest of a record, of which a subscription with 3,000 servers needs 3,000.
func BenchmarkDigest(b *testing.B) {
	e := registry.Entry{Server: benchServer(1)}
	b.ReportAllocs()
	for b.Loop() {
		e.Digest()
	}
}
