package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/internal/placement"
)

var start = time.Now()

func serverInfos(n int) []placement.ServerInfo {
	var out []placement.ServerInfo
	for i := range n {
		out = append(out, placement.ServerInfo{
			ID: fmt.Sprintf("i-%02d", i), Address: fmt.Sprintf("10.0.0.%d:80", i),
			Domain: fmt.Sprintf("zone-%d", i%3), Slots: 64,
		})
	}
	return out
}

func promptRequest(key uint64) placement.Request {
	return placement.Request{Parts: []placement.PromptPart{{ID: 1, Tokens: 500}, {ID: key, Tokens: 10000}, {ID: key + 1e6, Tokens: 300}}}
}

// chosenServers returns the server chosen for each of 1,000 keys on an idle pool.
func chosenServers(p *placement.Pool) map[uint64]string {
	out := make(map[uint64]string)
	for key := range uint64(1000) {
		out[key+10] = p.Choose(promptRequest(key+10), start).ID
	}
	return out
}

// TestRoutersChooseSameServerForPrompt guards against choices that depend on the order
// in which control lists the servers: each router would then process the prompt again.
func TestRoutersChooseSameServerForPrompt(t *testing.T) {
	g := NewWithT(t)
	first, second := placement.NewPool(true), placement.NewPool(true)
	first.SetServers(serverInfos(18), start)
	list := serverInfos(18)
	list[0], list[17] = list[17], list[0]
	second.SetServers(list, start)
	g.Expect(chosenServers(first)).To(Equal(chosenServers(second)))
}

// TestRemovedServerMovesOnlyItsOwnPrompts guards against a hash that moves the prompts of
// other servers too, which would lose their cached prefixes.
func TestRemovedServerMovesOnlyItsOwnPrompts(t *testing.T) {
	g := NewWithT(t)
	p := placement.NewPool(true)
	p.SetServers(serverInfos(18), start)
	before := chosenServers(p)
	p.SetServers(serverInfos(17), start)
	for key, server := range chosenServers(p) {
		if before[key] != "i-17" {
			g.Expect(server).To(Equal(before[key]))
		}
	}
}

// TestPromptAvoidsOverloadedServerUntilReportDecays guards against a prompt that stays on
// a server far above the mean load, that returns as soon as the load report is a little
// old, or that never returns.
func TestPromptAvoidsOverloadedServerUntilReportDecays(t *testing.T) {
	g := NewWithT(t)
	p := placement.NewPool(true)
	p.SetServers(serverInfos(6), start)
	first := p.Choose(promptRequest(42), start)
	for _, info := range serverInfos(6) {
		running := 5
		if info.ID == first.ID {
			running = 30
		}
		reportLoad(p, info.ID, running)
	}
	g.Expect(p.Choose(promptRequest(42), start).ID).NotTo(Equal(first.ID))
	soon, later := start.Add(3*time.Second), start.Add(12*time.Second)
	for _, now := range []time.Time{soon, later} {
		for _, info := range serverInfos(6) {
			if info.ID != first.ID {
				reportLoadAt(p, info.ID, 5, now)
			}
		}
	}
	g.Expect(p.Choose(promptRequest(42), soon).ID).NotTo(Equal(first.ID), "a load report of 3 s still counts")
	g.Expect(p.Choose(promptRequest(42), later).ID).To(Equal(first.ID), "a load report of 12 s has decayed")
}

// reportLoad records a load report of the server with the ID.
func reportLoad(p *placement.Pool, id string, running int) { reportLoadAt(p, id, running, start) }

func reportLoadAt(p *placement.Pool, id string, running int, now time.Time) {
	for key := uint64(0); ; key++ {
		if s := p.Choose(promptRequest(key), start.Add(-time.Hour)); s.ID == id {
			p.RecordLoad(s, placement.Load{Running: running, Slots: 64, At: now})
			return
		}
	}
}

// TestHotPromptIsSpreadOverServers simulates 80 routers and 140 servers with 6% of the
// requests for one prompt. Fewer than 3% of the requests may be sent to a server that then
// has more than twice the mean load plus three, the limit of the users' platform.
func TestHotPromptIsSpreadOverServers(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(1, 1))
	var routers []*placement.Pool
	for range 80 {
		p := placement.NewPool(true)
		p.SetServers(serverInfos(140), start)
		routers = append(routers, p)
	}
	type activeRequest struct {
		id    string
		until time.Time
	}
	var active []activeRequest
	inFlight := make(map[string]int)
	overLimit, total := 0, 0
	for i := range 40_000 {
		// 1,000 requests per second of 0.6 s each: 600 in flight, 4.3 per server.
		now := start.Add(time.Duration(i) * time.Millisecond)
		for len(active) > 0 && active[0].until.Before(now) {
			inFlight[active[0].id]--
			active = active[1:]
		}
		key := uint64(random.IntN(2000)) + 100
		if random.Float64() < 0.06 {
			key = 7
		}
		request := placement.Request{Parts: []placement.PromptPart{{ID: 1}, {ID: key}, {ID: random.Uint64()}}}
		p := routers[random.IntN(len(routers))]
		s := p.Choose(request, now)
		p.RecordSend(s, now)
		p.CopySource(s, request, now)
		p.RecordResult(s, placement.Result{Kind: placement.ResultAnswered, FirstByte: time.Millisecond}, now)
		inFlight[s.ID]++
		// The headers of the answer, with the load report, arrive at once.
		p.RecordLoad(s, placement.Load{Running: inFlight[s.ID], Slots: 64, At: now})
		active = append(active, activeRequest{s.ID, now.Add(600 * time.Millisecond)})
		if i > 15_000 {
			total++
			if float64(inFlight[s.ID]) > 2*float64(len(active))/140+3 {
				overLimit++
			}
		}
	}
	g.Expect(float64(overLimit)/float64(total)).To(BeNumerically("<", 0.03), "share of requests over the limit of the users' platform")
}

// TestMovedPromptIsCopiedFromLastServer guards against processing a prompt again although
// another server caches it: the server to which it was last sent, even a draining one, or,
// for a prompt that is new to this router, one to which other routers may have sent it.
func TestMovedPromptIsCopiedFromLastServer(t *testing.T) {
	g := NewWithT(t)
	p := placement.NewPool(true)
	p.SetServers(serverInfos(6), start)
	first := p.Choose(promptRequest(42), start)
	g.Expect(p.CopySource(first, promptRequest(42), start)).NotTo(BeEmpty(), "another router may have sent it to another server before")
	g.Expect(p.CopySource(first, promptRequest(42), start)).To(BeEmpty(), "the server caches it now")
	draining := serverInfos(6)
	for i := range draining {
		draining[i].Draining = draining[i].ID == first.ID
	}
	p.SetServers(draining, start)
	second := p.Choose(promptRequest(42), start)
	g.Expect(second.ID).NotTo(Equal(first.ID))
	g.Expect(p.CopySource(second, promptRequest(42), start)).To(Equal(first.Address), "a draining server still serves copies of its cache")
}

// TestUnreachableDomainIsAvoidedUntilProbeSucceeds guards against requests spent on each
// server of an unreachable failure domain in turn, and against probes without a pause. The
// connections to two servers of the domain fail, which makes all three unreachable.
func TestUnreachableDomainIsAvoidedUntilProbeSucceeds(t *testing.T) {
	g := NewWithT(t)
	p := placement.NewPool(false)
	p.SetServers(serverInfos(9), start)
	failConnections := func(id string) {
		for range 100 {
			s := p.Choose(placement.Request{Domain: "zone-0"}, start)
			p.RecordSend(s, start)
			kind := placement.ResultAnswered
			if s.Domain == "zone-0" {
				kind = placement.ResultUnreachable
			}
			p.RecordResult(s, placement.Result{Kind: kind, FirstByte: 20 * time.Millisecond}, start)
			if s.Domain != "zone-0" {
				return
			}
		}
		t.Fatalf("only unreachable servers of the domain of %s were chosen", id)
	}
	failConnections("i-00")
	for range 50 {
		g.Expect(p.Choose(placement.Request{Domain: "zone-0"}, start).Domain).NotTo(Equal("zone-0"))
	}
	unreachable := p.ServersToProbe(start)
	g.Expect(unreachable).To(HaveLen(3), "the third server of the domain has to be probed too")
	g.Expect(p.ServersToProbe(start)).To(BeEmpty(), "each server is probed once per interval")
	for _, s := range unreachable {
		p.RecordConnectSuccess(s, start)
	}
	g.Expect(p.Choose(placement.Request{Domain: "zone-0"}, start).Domain).To(Equal("zone-0"))
}

// TestNoRequestIsSentIntoUnreachableDomain guards against requests that test whether an
// unreachable failure domain has recovered, which is left to probes. The domain is
// unreachable for six seconds, during which all probes fail.
func TestNoRequestIsSentIntoUnreachableDomain(t *testing.T) {
	g := NewWithT(t)
	p := placement.NewPool(false)
	p.SetServers(serverInfos(9), start)
	request := placement.Request{Domain: "zone-0", Retryable: true}
	sentToUnreachable := 0
	for now := start; now.Before(start.Add(6 * time.Second)); now = now.Add(50 * time.Millisecond) {
		s := p.Choose(request, now)
		p.RecordSend(s, now)
		kind := placement.ResultAnswered
		if s.Domain == "zone-0" {
			kind = placement.ResultUnreachable
			sentToUnreachable++
		}
		p.RecordResult(s, placement.Result{Kind: kind, FirstByte: 20 * time.Millisecond}, now)
		for _, lost := range p.ServersToProbe(now) {
			p.RecordConnectFailure(lost, now)
		}
	}
	g.Expect(sentToUnreachable).To(BeNumerically("<=", 2), "requests until the domain counts as unreachable")
}

// failFirstChoice makes the server that is chosen first fail all its requests and returns
// its ID.
func failFirstChoice(p *placement.Pool) string {
	failing := ""
	for range 60 {
		s := p.Choose(placement.Request{}, start)
		if failing == "" {
			failing = s.ID
		}
		kind := placement.ResultAnswered
		if s.ID == failing {
			kind = placement.ResultFailed
		}
		p.RecordSend(s, start)
		p.RecordResult(s, placement.Result{Kind: kind, FirstByte: time.Millisecond}, start)
	}
	return failing
}

// TestRetriedRequestIsNotSentToSuspectServer guards against a retry that is sent to a
// suspect server as a trial and so probably fails a second time.
func TestRetriedRequestIsNotSentToSuspectServer(t *testing.T) {
	g := NewWithT(t)
	p := placement.NewPool(false)
	p.SetServers(serverInfos(3), start)
	failing := failFirstChoice(p)
	later := start.Add(10 * time.Second)
	for _, other := range serverInfos(3) {
		if other.ID != failing {
			g.Expect(p.Choose(placement.Request{Retryable: true, Exclude: []string{other.ID}}, later).ID).NotTo(Equal(failing))
		}
	}
}

// TestSuspectServerGetsOnlyRetryableTrials guards against trials of a failing server with
// requests that cannot be retried, and against several trials at once.
func TestSuspectServerGetsOnlyRetryableTrials(t *testing.T) {
	g := NewWithT(t)
	p := placement.NewPool(false)
	p.SetServers(serverInfos(3), start)
	failing := failFirstChoice(p)
	later := start.Add(10 * time.Second)
	for range 20 {
		g.Expect(p.Choose(placement.Request{}, later).ID).NotTo(Equal(failing))
	}
	g.Expect(p.Choose(placement.Request{Retryable: true}, later).ID).To(Equal(failing))
	g.Expect(p.Choose(placement.Request{Retryable: true}, later).ID).NotTo(Equal(failing), "one trial at a time")
}

// TestAllServersAreUsedIfAllFail guards against refusing requests, or overloading a single
// server, if all servers fail so often that each would be suspect.
func TestAllServersAreUsedIfAllFail(t *testing.T) {
	g := NewWithT(t)
	p := placement.NewPool(false)
	p.SetServers(serverInfos(3), start)
	used := make(map[string]bool)
	for i := range 60 {
		now := start.Add(time.Duration(i) * time.Second)
		s := p.Choose(placement.Request{}, now)
		g.Expect(s).NotTo(BeNil())
		p.RecordSend(s, now)
		p.RecordResult(s, placement.Result{Kind: placement.ResultFailed, FirstByte: time.Duration(i+1) * time.Millisecond}, now)
		used[s.ID] = true
	}
	g.Expect(used).To(HaveLen(3))
}

// TestRetryBudgetBoundsRetries guards against retries that amplify an overload, and against
// retries that count for longer than the window.
func TestRetryBudgetBoundsRetries(t *testing.T) {
	g := NewWithT(t)
	b := placement.NewRetryBudget(start)
	count := func(now time.Time) (granted int) {
		for range 100 {
			if b.Spend(now) {
				granted++
			}
		}
		return granted
	}
	for range 100 {
		b.Earn(start)
	}
	g.Expect(count(start)).To(Equal(17), "15% of 100 requests plus two")
	g.Expect(count(start.Add(9 * time.Second))).To(BeZero())
	g.Expect(count(start.Add(11*time.Second))).To(Equal(2), "the window has passed")
}

// TestPromptsAvoidSlowServerAndReturn guards against prompts that stay on a server whose
// streams have become slow, and against a server that is never tried again because only
// requests would show that it has recovered.
func TestPromptsAvoidSlowServerAndReturn(t *testing.T) {
	g := NewWithT(t)
	p := placement.NewPool(true)
	p.SetServers(serverInfos(6), start)
	var slow *placement.Server
	for _, info := range serverInfos(6) {
		reportLoad(p, info.ID, 5)
	}
	slow = p.Choose(promptRequest(42), start)
	for key := range uint64(200) {
		s := p.Choose(promptRequest(key), start)
		interval := 20 * time.Millisecond
		if s == slow {
			interval = 100 * time.Millisecond
		}
		p.RecordEventInterval(s, interval, start)
	}
	g.Expect(p.Choose(promptRequest(42), start).ID).NotTo(Equal(slow.ID))
	later := start.Add(15 * time.Second)
	for _, info := range serverInfos(6) {
		reportLoadAt(p, info.ID, 5, later)
	}
	g.Expect(p.Choose(promptRequest(42), later).ID).To(Equal(slow.ID), "the measurement is stale, so the server is tried again")
}

// TestSlowServerWithoutPrefixCacheIsTriedAgain guards against a server that was slow once
// and is then never chosen again, because only requests would show that it has recovered.
func TestSlowServerWithoutPrefixCacheIsTriedAgain(t *testing.T) {
	g := NewWithT(t)
	p := placement.NewPool(false)
	p.SetServers(serverInfos(2), start)
	answer := func(firstByte time.Duration, now time.Time) string {
		s := p.Choose(placement.Request{}, now)
		p.RecordSend(s, now)
		p.RecordResult(s, placement.Result{Kind: placement.ResultAnswered, FirstByte: firstByte}, now)
		return s.ID
	}
	slow := answer(500*time.Millisecond, start)
	other := answer(20*time.Millisecond, start)
	g.Expect(other).NotTo(Equal(slow))
	used := map[string]int{}
	for i := range 1200 {
		now := start.Add(time.Duration(i) * 50 * time.Millisecond)
		if i == 250 {
			g.Expect(used[slow]).To(BeNumerically(">", 0), "the slow server is tried within 12.5 s")
		}
		used[answer(20*time.Millisecond, now)]++
	}
	g.Expect(used[other]).To(BeNumerically(">", 300))
	g.Expect(used[slow]).To(BeNumerically(">", 300), "of 1,200 requests in a minute")
}
