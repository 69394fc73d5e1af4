package ledger

import (
	"encoding/binary"
	"runtime"
	"testing"
)

// BenchmarkMemoryOfClaims reports the heap bytes per granted claim in a replica.
func BenchmarkMemoryOfClaims(b *testing.B) {
	s := activeState(3)
	before := heapBytes()
	for i := range b.N {
		claim := ClaimRequest{View: testView, Attempt: attemptID(1), Digest: Digest{1}}
		binary.BigEndian.PutUint64(claim.Key[:], uint64(i))
		s.Claim(testNow, claim)
	}
	b.ReportMetric(float64(heapBytes()-before)/float64(b.N), "heap-B/claim")
	runtime.KeepAlive(s)
}

func heapBytes() uint64 {
	runtime.GC()
	stats := runtime.MemStats{}
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
