package placement_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/internal/placement"
	"peridotwinch.example/peridotwinch/internal/ratelimit"
)

// limitedPool returns the pool of one of seven routers, of whose 18 servers the first twelve
// limit their rate.
func limitedPool(index int, perSecond float64) *placement.Pool {
	p := placement.NewPool(true)
	p.SetPosition(ratelimit.Position{Index: index, Count: 7}, start.Add(-time.Minute))
	infos := serverInfos(18)
	for i := range infos {
		infos[i].Hash = uint64(i+1) * 0x9e3779b97f4a7c15
	}
	p.SetServers(infos, start)
	for i := range 12 {
		p.RecordRate(infos[i].Hash, ratelimit.Statement{PerSecond: perSecond, Limited: true, StatedAt: start})
	}
	return p
}

// TestPromptsThatALimitMovesStayMoved guards against prompts that alternate between a server that
// limits its rate and another one: each move processes or copies the prompt again.
func TestPromptsThatALimitMovesStayMoved(t *testing.T) {
	g := NewWithT(t)
	p := limitedPool(0, 3)
	const keys, requests, perSecond = 100, 3000, 15
	moves, last := 0, make(map[uint64]string)
	limitedSends := 0
	for i := range requests {
		now := start.Add(time.Duration(i) * time.Second / perSecond)
		key := 10 + uint64(i*37%keys)
		s := p.Choose(promptRequest(key), now)
		p.RecordSend(s, now)
		p.CopySource(s, promptRequest(key), now)
		p.RecordResult(s, placement.Result{Kind: placement.ResultAnswered}, now)
		if limited, _ := p.Limited(now); limited != 12 {
			t.Fatalf("%d servers limit their rate", limited)
		}
		if s.ID <= "i-11" {
			limitedSends++
		}
		if last[key] != "" && last[key] != s.ID && i > requests/5 {
			moves++
		}
		last[key] = s.ID
	}
	g.Expect(moves).To(BeNumerically("<", requests/10))
	g.Expect(limitedSends).To(BeNumerically(">", requests/5), "the rates are used")
}

// TestPoolWhoseServersAllLimitTheirRatesSpreads guards against a herd on one server when no server
// is without a limit.
func TestPoolWhoseServersAllLimitTheirRatesSpreads(t *testing.T) {
	g := NewWithT(t)
	p := placement.NewPool(true)
	p.SetPosition(ratelimit.Position{Index: 0, Count: 1}, start.Add(-time.Minute))
	infos := serverInfos(6)
	for i := range infos {
		infos[i].Hash = uint64(i + 1)
	}
	p.SetServers(infos, start)
	for i := range infos {
		p.RecordRate(infos[i].Hash, ratelimit.Statement{PerSecond: 5, Limited: true, StatedAt: start})
	}
	sends := make(map[string]int)
	served := 0
	for i := range 600 {
		now := start.Add(time.Duration(i) * 33 * time.Millisecond)
		s := p.Choose(promptRequest(uint64(10+i%50)), now)
		if s == nil {
			continue
		}
		served++
		p.RecordSend(s, now)
		p.RecordResult(s, placement.Result{Kind: placement.ResultAnswered}, now)
		sends[s.ID]++
	}
	g.Expect(served).To(BeNumerically(">=", 590), "30 requests/s are what the servers take together")
	for id, count := range sends {
		g.Expect(count).To(BeNumerically("<", 160), id)
	}
	g.Expect(sends).To(HaveLen(6))
}
