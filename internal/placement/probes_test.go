package placement_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/internal/placement"
)

// largePool returns a pool of 3,000 servers in three failure domains, of which control lists each
// n-th as silent, starting with the first.
func largePool(n int) *placement.Pool {
	p := placement.NewPool(true)
	p.SetServers(largeInfos(func(i int) bool { return n > 0 && i%n == 0 }), start)
	return p
}

func largeInfos(silent func(int) bool) []placement.ServerInfo {
	infos := serverInfos(3000)
	for i := range infos {
		infos[i].ID, infos[i].Address = fmt.Sprintf("i-%04d", i), fmt.Sprintf("10.1.%d.%d:80", i/250, i%250)
		infos[i].Hash, infos[i].Silent = uint64(i+1), silent(i)
	}
	return infos
}

// probesIn returns how many probes the pool asks for in a time, and how many in the first second; record
// is called for each.
func probesIn(p *placement.Pool, length time.Duration, record func(*placement.Server, time.Time)) (all, first int) {
	for now := start; now.Before(start.Add(length)); now = now.Add(200 * time.Millisecond) {
		for _, s := range p.ServersToProbe(now) {
			all++
			if now.Sub(start) < time.Second {
				first++
			}
			record(s, now)
		}
	}
	return all, first
}

// TestUnreachableDomainIsSampled guards against a router that connects to all 1,000 servers of a
// failure domain each 0.4 s after two failed connections: connections without a use, which delay the
// servers and thus cause more failures.
func TestUnreachableDomainIsSampled(t *testing.T) {
	g := NewWithT(t)
	p := largePool(0)
	fail := func() {
		for range 2 {
			s := p.Choose(placement.Request{Domain: "zone-0"}, start)
			p.RecordSend(s, start)
			p.RecordResult(s, placement.Result{Kind: placement.ResultUnreachable}, start)
		}
	}
	fail()
	all, first := probesIn(p, 10*time.Second, func(s *placement.Server, now time.Time) { p.RecordConnectFailure(s, now) })
	t.Logf("%d probes in 10 s of an unreachable domain, %d in the first second (25,000 and 3,000 without a bound)", all, first)
	g.Expect(all).To(And(BeNumerically(">", 100), BeNumerically("<=", 64+400)))
	g.Expect(first).To(BeNumerically("<=", 64+40))
	p = largePool(0)
	fail()
	all, _ = probesIn(p, 10*time.Second, func(s *placement.Server, now time.Time) { p.RecordConnectSuccess(s, now) })
	g.Expect(all).To(BeNumerically("<=", 2+8), "the first success ends the state")
}

// TestServersSilentTogetherAreUsed guards against an overloaded control: all routers would connect to
// every server that it lists as silent, and move the prompts of these servers.
func TestServersSilentTogetherAreUsed(t *testing.T) {
	g := NewWithT(t)
	p := largePool(5)
	g.Expect(p.IgnoredSilence()).To(Equal(600))
	all, _ := probesIn(p, 5*time.Second, func(*placement.Server, time.Time) {})
	g.Expect(all).To(BeZero())
	g.Expect(chosenServers(p)).To(Equal(chosenServers(largePool(0))))
}

// TestSilenceOfFewServersOrOneDomainCounts guards against ignored silence of servers that have failed together.
func TestSilenceOfFewServersOrOneDomainCounts(t *testing.T) {
	g := NewWithT(t)
	g.Expect(largePool(16).IgnoredSilence()).To(BeZero(), "188 of 3,000 servers")
	p := largePool(0)
	p.SetServers(largeInfos(func(i int) bool { return i%3 == 0 }), start)
	g.Expect(p.IgnoredSilence()).To(BeZero(), "a whole failure domain")
	for key := range uint64(100) {
		g.Expect(p.Choose(promptRequest(key), start).Silent).To(BeFalse())
	}
	probed := make(map[string]bool)
	all, _ := probesIn(p, 30*time.Second, func(s *placement.Server, _ time.Time) { probed[s.ID] = true })
	g.Expect(all).To(BeNumerically("<=", 64+30*40))
	g.Expect(len(probed)).To(Equal(1000), "all are probed in turn")
}

// TestSilenceOfTwoDomainsCounts guards against requests to two failure domains that were lost together, and
// against the rule for overloaded controls in pools whose servers are all probed anyway.
func TestSilenceOfTwoDomainsCounts(t *testing.T) {
	g := NewWithT(t)
	p := placement.NewPool(true)
	infos := serverInfos(300)
	for i := range infos {
		infos[i].Silent = i%3 != 0
	}
	p.SetServers(infos, start)
	g.Expect(p.IgnoredSilence()).To(BeZero(), "300 servers")
	for i := range infos {
		infos[i].Silent = i < 250
	}
	p.SetServers(infos, start)
	g.Expect(p.IgnoredSilence()).To(BeZero(), "300 servers, all domains")
	p.SetServers(largeInfos(func(i int) bool { return i%3 != 0 || i%60 == 0 }), start)
	g.Expect(p.IgnoredSilence()).To(BeZero(), "3,000 servers, two domains and 50 servers of the third")
	for key := range uint64(100) {
		g.Expect(p.Choose(promptRequest(key), start).Silent).To(BeFalse())
	}
	p.SetServers(largeInfos(func(i int) bool { return i%3 != 0 || i%15 == 0 }), start)
	g.Expect(p.IgnoredSilence()).To(Equal(2200), "a fifth of the third domain too")
	twoDomains := largeInfos(func(i int) bool { return i%5 == 0 })
	for i := range twoDomains {
		twoDomains[i].Domain = fmt.Sprint("zone-", i%2)
	}
	p.SetServers(twoDomains, start)
	g.Expect(p.IgnoredSilence()).To(Equal(600), "a pool with two domains")
}

// TestSmallPoolIsProbedWhole guards against a slower recovery in small deployments, and against requests to
// servers that are still down when the first one of their domain is back. Of 450 servers,
// each second one of two domains is silent, and the third domain is unreachable.
func TestSmallPoolIsProbedWhole(t *testing.T) {
	g := NewWithT(t)
	p := placement.NewPool(false)
	infos, expected := serverInfos(450), 0
	for i := range infos {
		infos[i].Silent = i%2 == 0 && i%3 != 0
		if infos[i].Silent || i%3 == 0 {
			expected++
		}
	}
	p.SetServers(infos, start)
	for range 2 {
		s := p.Choose(placement.Request{Domain: "zone-0"}, start)
		g.Expect(s.Domain).To(Equal("zone-0"))
		p.RecordSend(s, start)
		p.RecordResult(s, placement.Result{Kind: placement.ResultUnreachable}, start)
	}
	for now := start; now.Before(start.Add(3 * time.Second)); now = now.Add(400 * time.Millisecond) {
		probed := p.ServersToProbe(now)
		g.Expect(len(probed)).To(Equal(expected))
		for _, s := range probed {
			if s.Domain == "zone-0" {
				p.RecordConnectFailure(s, now)
			}
		}
	}
}
