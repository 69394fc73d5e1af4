package placement_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"peridotwinch.example/peridotwinch/internal/placement"
)

// TestLeavingIsNeverTakenBackWithinAnIncarnation checks, over random orders of lists from
// control, answers, results and time, that no request is placed on an incarnation that has
// stated that it is leaving, or that wants no request at that time, in any way: as the first
// choice, as a trial, or because all other servers are suspect or excluded.
func TestLeavingIsNeverTakenBackWithinAnIncarnation(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := placement.NewPool(rapid.Bool().Draw(rt, "engine"))
		now := start
		incarnations := []uint64{1, 1, 1, 1}
		hash := func(i int) uint64 { return uint64(i)<<32 | incarnations[i] }
		list := func() {
			var infos []placement.ServerInfo
			for i := range incarnations {
				if state := rapid.IntRange(0, 4).Draw(rt, "state"); state > 0 {
					infos = append(infos, placement.ServerInfo{
						ID: fmt.Sprint("s", i), Address: fmt.Sprint("a", i), Domain: "d", Slots: 4, Hash: hash(i),
						Draining: state == 1, Silent: state == 2,
					})
				}
			}
			p.SetServers(infos, now)
		}
		list()
		leaving, paused := map[uint64]bool{}, map[uint64]time.Time{}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(rt, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, len(incarnations)-1).Draw(rt, "server")
			switch rapid.IntRange(0, 6).Draw(rt, "step") {
			case 0:
				list()
			case 1:
				p.MarkLeaving(hash(i), now)
				leaving[hash(i)] = true
			case 2:
				until := now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(rt, "pause")) * time.Millisecond)
				p.Pause(hash(i), until, now)
				if until.After(paused[hash(i)]) {
					paused[hash(i)] = until
				}
			case 3:
				incarnations[i]++
			default:
				request := promptRequest(uint64(rapid.IntRange(1, 20).Draw(rt, "key")))
				request.Retryable = rapid.Bool().Draw(rt, "retryable")
				if rapid.Bool().Draw(rt, "second attempt") {
					request.Exclude = []string{fmt.Sprint("s", i)}
				}
				s := p.Choose(request, now)
				for _, probed := range p.ServersToProbe(now) {
					if leaving[probed.Hash] || now.Before(paused[probed.Hash]) {
						rt.Fatalf("probes %x", probed.Hash)
					}
				}
				if s == nil {
					continue
				}
				if leaving[s.Hash] || now.Before(paused[s.Hash]) {
					rt.Fatalf("%v places a request on %x", s.Choice.Reason, s.Hash)
				}
				p.RecordSend(s, now)
				p.RecordResult(s, placement.Result{Kind: placement.ResultKind(rapid.IntRange(0, 5).Draw(rt, "result"))}, now)
			}
		}
	})
}

// TestNewIncarnationIsUsedAgain guards against a statement that outlives the server's process.
func TestNewIncarnationIsUsedAgain(t *testing.T) {
	g := NewWithT(t)
	p := placement.NewPool(false)
	infos := serverInfos(2)
	infos[0].Hash, infos[1].Hash = 10, 20
	p.SetServers(infos, start)
	p.MarkLeaving(10, start)
	p.Pause(20, start.Add(time.Minute), start)
	_, allPaused := p.AvailableAt(start)
	g.Expect(allPaused).To(BeTrue())
	g.Expect(p.Choose(placement.Request{}, start)).To(BeNil())
	leaving, paused := p.Withdrawn(start)
	g.Expect([]int{leaving, paused}).To(Equal([]int{1, 1}))
	restarted := slices.Clone(infos)
	restarted[0].Hash, restarted[1].Hash = 11, 21
	p.SetServers(restarted, start.Add(time.Second))
	for range 2 {
		s := p.Choose(placement.Request{}, start.Add(time.Second))
		g.Expect(s).NotTo(BeNil())
		p.RecordSend(s, start.Add(time.Second))
	}
	leaving, paused = p.Withdrawn(start.Add(time.Second))
	g.Expect([]int{leaving, paused}).To(Equal([]int{0, 0}))
}
