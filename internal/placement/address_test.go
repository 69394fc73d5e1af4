package placement_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/internal/placement"
	"peridotwinch.example/peridotwinch/internal/ratelimit"
)

// twoIDs returns a pool with a server that is listed under two IDs, and their hashes.
func twoIDs() (p *placement.Pool, infos []placement.ServerInfo) {
	p = placement.NewPool(false)
	p.SetPosition(ratelimit.Position{Index: 0, Count: 1}, start.Add(-time.Minute))
	infos = serverInfos(2)
	infos[1].Address = infos[0].Address
	for i := range infos {
		infos[i].Hash = uint64(i+1) * 0x9e3779b97f4a7c15
	}
	return p, infos
}

// TestStatementOfAProcessBindsAllItsIDs guards against requests for one ID of a process after it has
// stated under another one that it is leaving, wants a pause, or limits its rate.
func TestStatementOfAProcessBindsAllItsIDs(t *testing.T) {
	for name, state := range map[string]func(p *placement.Pool, hash uint64){
		"leaving": func(p *placement.Pool, hash uint64) { p.MarkLeaving(hash, start) },
		"pause":   func(p *placement.Pool, hash uint64) { p.Pause(hash, start.Add(time.Minute), start) },
	} {
		for listedLater := range 2 {
			g := NewWithT(t)
			p, infos := twoIDs()
			p.SetServers(infos[:2-listedLater], start)
			state(p, infos[0].Hash)
			p.SetServers(infos, start.Add(time.Second))
			g.Expect(p.Choose(placement.Request{}, start.Add(2*time.Second))).To(BeNil(), name)
			g.Expect(p.ServersToProbe(start.Add(2*time.Second))).To(BeEmpty(), name)
		}
	}
	g := NewWithT(t)
	p, infos := twoIDs()
	p.SetServers(infos, start)
	p.RecordRate(infos[0].Hash, ratelimit.Statement{PerSecond: 1, Limited: true, StatedAt: start})
	sent := 0
	for now := start; now.Before(start.Add(4 * time.Second)); now = now.Add(10 * time.Millisecond) {
		request := placement.Request{}
		if sent%2 == 1 {
			request.Exclude = []string{infos[0].ID}
		}
		if s := p.Choose(request, now); s != nil {
			p.RecordSend(s, now)
			sent++
		}
	}
	g.Expect(sent).To(BeNumerically("<=", 10), "of 1 request/s under both IDs")
	g.Expect(sent).To(BeNumerically(">", 2))
}

// TestNewestRateOfAProcessReplacesThoseOfItsOtherIDs guards against a limit that stays in force because
// the process names no limit any more under another of its IDs only.
func TestNewestRateOfAProcessReplacesThoseOfItsOtherIDs(t *testing.T) {
	limit, none := ratelimit.Statement{PerSecond: 0.5, Limited: true}, ratelimit.Statement{}
	record := map[string]func(p *placement.Pool, hash uint64, s ratelimit.Statement){
		"answer": func(p *placement.Pool, hash uint64, s ratelimit.Statement) { p.RecordRate(hash, s) },
		"peer":   func(p *placement.Pool, hash uint64, s ratelimit.Statement) { p.RecordPeerRate(hash, s) },
	}
	for name, recordRate := range record {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			p, infos := twoIDs()
			p.SetServers(infos, start)
			state := func(id int, s ratelimit.Statement, after time.Duration) int {
				s.StatedAt = start.Add(after)
				recordRate(p, infos[id].Hash, s)
				limited, _ := p.Limited(start.Add(10 * time.Second))
				return limited
			}
			g.Expect(state(0, limit, time.Second)).To(Equal(2))
			g.Expect(state(1, limit, 2*time.Second)).To(Equal(2))
			g.Expect(state(0, none, 4*time.Second)).To(BeZero())
			g.Expect(state(1, limit, 3*time.Second)).To(BeZero(), "an older statement that arrives late")
			g.Expect(state(1, limit, 5*time.Second)).To(Equal(2))
			g.Expect(state(0, none, 4500*time.Millisecond)).To(Equal(2), "an older end that arrives late")
		})
	}
}

// TestOlderIncarnationAtAnAddressGetsNoRequest guards against requests for a process that has ended, and
// against a new process that is bound by what the ended one stated.
func TestOlderIncarnationAtAnAddressGetsNoRequest(t *testing.T) {
	g := NewWithT(t)
	p, infos := twoIDs()
	infos[1].StartedMS = 1
	p.SetServers(infos, start)
	p.MarkLeaving(infos[0].Hash, start)
	p.Pause(infos[0].Hash, start.Add(time.Minute), start)
	p.SetServers(infos, start.Add(time.Second))
	g.Expect(p.Size()).To(Equal(1))
	s := p.Choose(placement.Request{}, start.Add(2*time.Second))
	g.Expect(s).NotTo(BeNil())
	g.Expect(s.ID).To(Equal(infos[1].ID))
}
