package placement_test

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"peridotwinch.example/peridotwinch/internal/placement"
)

// TestNoRequestIsPlacedInAnEvacuatedDomain checks, over random orders of lists from control,
// evacuations, results and time, that no request is placed on a server of an evacuated domain in
// any way: as the first choice, as a trial, because all others are suspect, full or excluded, and
// that no probe is sent there. Once all domains are back, all servers that are ready are used.
func TestNoRequestIsPlacedInAnEvacuatedDomain(t *testing.T) {
	zones := []string{"zone-0", "zone-1", "zone-2"}
	rapid.Check(t, func(rt *rapid.T) {
		p := placement.NewPool(rapid.Bool().Draw(rt, "engine"))
		now, infos := start, serverInfos(6)
		for i := range infos {
			infos[i].Hash, infos[i].Slots = uint64(i+1), 2
		}
		p.SetServers(infos, now)
		var evacuated []string
		for range rapid.IntRange(1, 80).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(rt, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(rt, "step") {
			case 0:
				evacuated = rapid.SliceOfDistinct(rapid.SampledFrom(zones), func(s string) string { return s }).Draw(rt, "evacuated")
				p.SetEvacuated(evacuated, nil, now)
			case 1:
				infos = slices.Clone(infos)
				for i := range infos {
					infos[i].Silent = rapid.IntRange(0, 5).Draw(rt, "silent") == 0
				}
				p.SetServers(infos, now)
			default:
				request := promptRequest(uint64(rapid.IntRange(1, 20).Draw(rt, "key")))
				request.Retryable = rapid.Bool().Draw(rt, "retryable")
				for _, s := range p.ServersToProbe(now) {
					if slices.Contains(evacuated, s.Domain) {
						rt.Fatalf("probes %s in %s", s.ID, s.Domain)
					}
				}
				s := p.Choose(request, now)
				if s == nil {
					continue
				}
				if slices.Contains(evacuated, s.Domain) {
					rt.Fatalf("%v places a request on %s in %s", s.Choice.Reason, s.ID, s.Domain)
				}
				p.RecordSend(s, now)
				p.RecordResult(s, placement.Result{Kind: placement.ResultKind(rapid.IntRange(0, 5).Draw(rt, "result"))}, now)
			}
		}
		p.SetEvacuated(nil, nil, now)
		if p.Size() != len(infos) || p.Evacuated() != 0 {
			rt.Fatalf("%d servers, %d evacuated", p.Size(), p.Evacuated())
		}
	})
}

// TestReturnedServersKeepTheirState guards against requests that are forgotten while their server's
// domain is evacuated: the server would get more than its slots after its return.
func TestReturnedServersKeepTheirState(t *testing.T) {
	g := NewWithT(t)
	p := placement.NewPool(false)
	infos := serverInfos(3)
	for i := range infos {
		infos[i].Slots, infos[i].Hash = 1, uint64(i+1)
	}
	p.SetServers(infos, start)
	running := map[string]*placement.Server{}
	for range 3 {
		s := p.Choose(placement.Request{Domain: "zone-0"}, start)
		p.RecordSend(s, start)
		running[s.ID] = s
	}
	p.SetEvacuated([]string{"zone-0", "zone-1"}, nil, start)
	g.Expect([]int{p.Size(), p.Evacuated()}).To(Equal([]int{1, 2}))
	p.RecordResult(running["i-00"], placement.Result{Kind: placement.ResultAnswered}, start)
	g.Expect(p.Choose(placement.Request{Domain: "zone-0"}, start)).To(BeNil(), "the only server left is full")
	p.SetEvacuated([]string{"zone-1"}, nil, start)
	s := p.Choose(placement.Request{Domain: "zone-0"}, start)
	g.Expect(s).To(BeIdenticalTo(running["i-00"]), "free since its request ended")
	g.Expect(s.Choice.Evacuated).To(Equal(1))
}

// TestReturnedServersCountAsWarmingUp guards against full load on servers that had no traffic. Each one
// counts once, also if the router did not know of the evacuation, and none that was not listed.
func TestReturnedServersCountAsWarmingUp(t *testing.T) {
	g := NewWithT(t)
	p := placement.NewPool(false)
	p.SetWarmup(warmupOfLessons, start)
	infos := serverInfos(3)
	p.SetServers(infos, start)
	returned := func() (ids []string) {
		for _, news := range p.TakeWarmupEvents() {
			ids = append(ids, news.ID)
		}
		return ids
	}
	p.SetEvacuated([]string{"zone-0", "zone-1"}, nil, start)
	g.Expect(returned()).To(BeEmpty())
	p.SetEvacuated([]string{"zone-1"}, nil, start)
	g.Expect(returned()).To(Equal([]string{"i-00"}))
	p.SetServers(infos[:1], start)
	p.SetEvacuated(nil, nil, start)
	g.Expect(returned()).To(BeEmpty(), "i-01 is gone")
	p.SetServers(infos, start)
	g.Expect(p.Size()).To(Equal(3))
	p.SetEvacuated([]string{"zone-2"}, []string{"zone-1", "zone-2"}, start)
	g.Expect(returned()).To(Equal([]string{"i-01"}), "zone-1 returned without the router's knowledge, zone-2 was evacuated again")
}

// TestPromptsAreCopiedFromAnEvacuatedDomain guards against prompts that are processed again on
// another server although the server of the evacuated domain that has them can be read.
func TestPromptsAreCopiedFromAnEvacuatedDomain(t *testing.T) {
	g := NewWithT(t)
	for _, sentBefore := range []bool{true, false} {
		p := placement.NewPool(true)
		p.SetServers(serverInfos(6), start)
		home := p.Choose(promptRequest(7), start)
		if sentBefore {
			p.CopySource(home, promptRequest(7), start)
		}
		p.SetEvacuated([]string{home.Domain}, nil, start)
		next := p.Choose(promptRequest(7), start)
		g.Expect(next.Domain).NotTo(Equal(home.Domain))
		g.Expect(p.CopySource(next, promptRequest(7), start)).To(Equal(home.Address), "sent before: %t", sentBefore)
	}
}
