package placement_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/internal/placement"
	"peridotwinch.example/peridotwinch/internal/ratelimit"
)

// poolAfterOutage returns a pool whose failure domain zone-0 was unreachable for 2 s and answers at the
// returned time, and the servers with failed connections. The router has no share of warm-ups.
func poolAfterOutage(g *WithT) (p *placement.Pool, answer time.Time, failed map[string]bool) {
	p, failed = largePool(0), make(map[string]bool)
	p.SetWarmup(warmupOfLessons, start)
	p.SetPosition(ratelimit.Position{Index: 299, Count: 300}, start.Add(-time.Hour))
	for range 2 {
		s := p.Choose(placement.Request{Domain: "zone-0"}, start)
		g.Expect(s.Domain).To(Equal("zone-0"))
		p.RecordSend(s, start)
		p.RecordResult(s, placement.Result{Kind: placement.ResultUnreachable}, start)
		failed[s.ID] = true
	}
	answer = start.Add(2 * time.Second)
	for now := start; now.Before(answer); now = now.Add(200 * time.Millisecond) {
		for _, s := range p.ServersToProbe(now) {
			p.RecordConnectFailure(s, now)
			failed[s.ID] = true
		}
	}
	return p, answer, failed
}

// TestDomainOfLargePoolIsWarmAfterItsWarmup guards against routers that send nothing to the servers of a failure
// domain for tens of seconds after its outage, while their probes reach one after the other.
func TestDomainOfLargePoolIsWarmAfterItsWarmup(t *testing.T) {
	g := NewWithT(t)
	p, answer, failed := poolAfterOutage(g)
	last := answer
	for now := answer; now.Before(answer.Add(40 * time.Second)); now = now.Add(200 * time.Millisecond) {
		for _, s := range p.ServersToProbe(now) {
			p.RecordConnectSuccess(s, now)
		}
		blocked := p.Choose(placement.Request{}, now).Choice.WarmingUp
		if now.Sub(answer) >= simWarmup+200*time.Millisecond {
			g.Expect(blocked).To(BeNumerically("<=", len(failed)), "%v after the first answer", now.Sub(answer))
		}
		if blocked > 0 {
			last = now
		}
	}
	t.Logf("servers were blocked for %v after the first answer; %d had failed connections", last.Sub(answer), len(failed))
	g.Expect(last.Sub(answer)).To(BeNumerically(">=", simWarmup-200*time.Millisecond), "they may have restarted")
	g.Expect(last.Sub(answer)).To(BeNumerically("<=", simWarmup+time.Second), "those with failed connections are probed first")
}

// TestSecondOutageStartsTheWarmupAnew guards against full load on servers that may have restarted in a second outage
// of their failure domain, within the warm-up time of the first one or later.
func TestSecondOutageStartsTheWarmupAnew(t *testing.T) {
	g := NewWithT(t)
	for _, gap := range []time.Duration{simWarmup / 2, 10 * simWarmup} {
		p, now, failed := poolAfterOutage(g)
		probed := p.ServersToProbe(now)
		p.RecordConnectSuccess(probed[0], now)
		now = now.Add(gap)
		for range 6 {
			for _, s := range probed[1:4] {
				p.RecordConnectFailure(s, now)
				failed[s.ID] = true
			}
			now = now.Add(200 * time.Millisecond)
		}
		p.RecordConnectSuccess(probed[0], now)
		now = now.Add(simWarmup - 100*time.Millisecond)
		g.Expect(p.Choose(placement.Request{}, now).Choice.WarmingUp).To(BeNumerically(">=", 900), "second outage after %v", gap)
		now = now.Add(200 * time.Millisecond)
		g.Expect(p.Choose(placement.Request{}, now).Choice.WarmingUp).To(BeNumerically("<=", len(failed)+1), "second outage after %v", gap)
	}
}

// TestServersThatControlHearsNeedNoProbe guards against probes after an outage of servers that are known to run,
// which delay the probes of the others.
func TestServersThatControlHearsNeedNoProbe(t *testing.T) {
	g := NewWithT(t)
	p, answer, failed := poolAfterOutage(g)
	reached := ""
	for _, s := range p.ServersToProbe(answer) {
		reached = s.ID
		p.RecordConnectSuccess(s, answer)
		break
	}
	g.Expect(reached).NotTo(BeEmpty())
	heard := largeInfos(func(int) bool { return false })
	for i := range heard {
		heard[i].HeardAt = answer.Add(100 * time.Millisecond)
	}
	p.SetServers(heard, answer.Add(200*time.Millisecond))
	for now := answer.Add(400 * time.Millisecond); now.Before(answer.Add(2 * time.Second)); now = now.Add(200 * time.Millisecond) {
		for _, s := range p.ServersToProbe(now) {
			g.Expect(failed).To(HaveKey(s.ID))
			g.Expect(s.ID).NotTo(Equal(reached), "it has answered")
			p.RecordConnectSuccess(s, now)
		}
	}
}
