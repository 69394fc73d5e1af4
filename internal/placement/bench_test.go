package placement_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"peridotwinch.example/peridotwinch/internal/placement"
)

// benchmarkPool returns a pool of 3,000 servers, all with loads and event intervals.
func benchmarkPool() *placement.Pool {
	p := largePool(0)
	random := rand.New(rand.NewPCG(1, 2))
	for i := range 3000 {
		p.RecordPeerLoad(uint64(i+1), placement.Load{Running: random.IntN(10), At: start})
	}
	for key := range uint64(3000) {
		s := p.Choose(promptRequest(key), start)
		p.RecordSend(s, start)
		p.RecordEventInterval(s, time.Duration(5+random.IntN(5))*time.Millisecond, start)
		p.RecordResult(s, placement.Result{Kind: placement.ResultAnswered, FirstByte: 20 * time.Millisecond}, start)
	}
	return p
}

// BenchmarkChoose measures a placement among 3,000 servers. At 30 requests/s of a router, 1 ms takes 3% of
// a core.
func BenchmarkChoose(b *testing.B) {
	for name, request := range map[string]func(uint64) placement.Request{
		"prompt":  promptRequest,
		"latency": func(uint64) placement.Request { return placement.Request{Domain: "zone-1"} },
	} {
		b.Run(name, func(b *testing.B) {
			p, key := benchmarkPool(), uint64(0)
			b.ReportAllocs()
			for b.Loop() {
				key++
				p.Choose(request(key), start)
			}
		})
	}
}

// BenchmarkRecordPeerLoads measures an exchange of the loads of 3,000 servers.
func BenchmarkRecordPeerLoads(b *testing.B) {
	p, now := benchmarkPool(), start
	for b.Loop() {
		now = now.Add(time.Millisecond)
		for i := range 3000 {
			p.RecordPeerLoad(uint64(i+1), placement.Load{Running: i % 10, At: now})
		}
	}
}
