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

func infos(n int) []placement.ServerInfo {
	var out []placement.ServerInfo
	for i := range n {
		out = append(out, placement.ServerInfo{
			ID: fmt.Sprintf("i-%02d", i), Address: fmt.Sprintf("10.0.0.%d:80", i),
			Domain: fmt.Sprintf("zone-%d", i%3), Slots: 64,
		})
	}
	return out
}

func prompt(key uint64) placement.Request {
	return placement.Request{Parts: []placement.PromptPart{{ID: 1, Tokens: 500}, {ID: key, Tokens: 10000}, {ID: key + 1e6, Tokens: 300}}}
}

// chosen returns the server of each of 1,000 keys on an idle pool.
func chosen(p *placement.Pool) map[uint64]string {
	out := make(map[uint64]string)
	for key := range uint64(1000) {
		out[key+10] = p.Choose(prompt(key+10), start).ID
	}
	return out
}

func TestRoutersChooseTheSameServerForAPrompt(t *testing.T) {
	g := NewWithT(t)
	one, other := placement.NewPool(true), placement.NewPool(true)
	one.SetServers(infos(18))
	list := infos(18)
	list[0], list[17] = list[17], list[0]
	other.SetServers(list)
	g.Expect(chosen(one)).To(Equal(chosen(other)))
}

func TestALostServerMovesItsOwnPromptsOnly(t *testing.T) {
	g := NewWithT(t)
	p := placement.NewPool(true)
	p.SetServers(infos(18))
	before := chosen(p)
	p.SetServers(infos(17))
	for key, server := range chosen(p) {
		if before[key] != "i-17" {
			g.Expect(server).To(Equal(before[key]))
		}
	}
}

func TestAPromptLeavesAServerThatIsLoadedFarAboveTheMean(t *testing.T) {
	g := NewWithT(t)
	p := placement.NewPool(true)
	p.SetServers(infos(6))
	first := p.Choose(prompt(42), start)
	for _, info := range infos(6) {
		running := 5
		if info.ID == first.ID {
			running = 30
		}
		tell(p, info.ID, running)
	}
	g.Expect(p.Choose(prompt(42), start).ID).NotTo(Equal(first.ID))
	soon, later := start.Add(3*time.Second), start.Add(12*time.Second)
	for _, now := range []time.Time{soon, later} {
		for _, info := range infos(6) {
			if info.ID != first.ID {
				tellAt(p, info.ID, 5, now)
			}
		}
	}
	g.Expect(p.Choose(prompt(42), soon).ID).NotTo(Equal(first.ID), "an old word still counts")
	g.Expect(p.Choose(prompt(42), later).ID).To(Equal(first.ID), "a very old one does not")
}

// tell makes a server tell its load: the one that a key leads to.
func tell(p *placement.Pool, id string, running int) { tellAt(p, id, running, start) }

func tellAt(p *placement.Pool, id string, running int, now time.Time) {
	for key := uint64(0); ; key++ {
		if s := p.Choose(prompt(key), start.Add(-time.Hour)); s.ID == id {
			p.RecordLoad(s, placement.Load{Running: running, Slots: 64, At: now})
			return
		}
	}
}

// TestAHotPromptGetsMoreServers plays 80 routers before 140 servers, with 6% of
// the requests for one prompt: no server may hold twice the mean and three.
func TestAHotPromptGetsMoreServers(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(1, 1))
	var routers []*placement.Pool
	for range 80 {
		p := placement.NewPool(true)
		p.SetServers(infos(140))
		routers = append(routers, p)
	}
	type running struct {
		id    string
		until time.Time
	}
	var work []running
	holds := make(map[string]int)
	late, sends := 0, 0
	for i := range 40_000 {
		// 1,000 requests a second, each for 0.6 s: 600 at once, 4.3 a server.
		now := start.Add(time.Duration(i) * time.Millisecond)
		for len(work) > 0 && work[0].until.Before(now) {
			holds[work[0].id]--
			work = work[1:]
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
		holds[s.ID]++
		// The head of the answer, with the load, comes soon after.
		p.RecordLoad(s, placement.Load{Running: holds[s.ID], Slots: 64, At: now})
		work = append(work, running{s.ID, now.Add(600 * time.Millisecond)})
		if i > 15_000 {
			sends++
			if float64(holds[s.ID]) > 2*float64(len(work))/140+3 {
				late++
			}
		}
	}
	g.Expect(float64(late)/float64(sends)).To(BeNumerically("<", 0.03), "the rule of the users' platform")
}

func TestAMovedPromptIsCopiedFromWhereItWasSentLast(t *testing.T) {
	g := NewWithT(t)
	p := placement.NewPool(true)
	p.SetServers(infos(6))
	first := p.Choose(prompt(42), start)
	g.Expect(p.CopySource(first, prompt(42), start)).NotTo(BeEmpty(), "another router may have sent it elsewhere before")
	g.Expect(p.CopySource(first, prompt(42), start)).To(BeEmpty(), "the server has it now")
	left := infos(6)
	for i := range left {
		left[i].Draining = left[i].ID == first.ID
	}
	p.SetServers(left)
	second := p.Choose(prompt(42), start)
	g.Expect(second.ID).NotTo(Equal(first.ID))
	g.Expect(p.CopySource(second, prompt(42), start)).To(Equal(first.Address), "a leaving server still gives what it keeps")
}

func TestAFailureDomainOutOfReachIsLeftAlone(t *testing.T) {
	g := NewWithT(t)
	p := placement.NewPool(false)
	p.SetServers(infos(9))
	lose := func(id string) {
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
		t.Fatalf("server %s is chosen again and again", id)
	}
	lose("i-00")
	for range 50 {
		g.Expect(p.Choose(placement.Request{Domain: "zone-0"}, start).Domain).NotTo(Equal("zone-0"))
	}
	unreachable := p.ServersToProbe(start)
	g.Expect(unreachable).To(HaveLen(3), "the third server of the domain was not tried")
	g.Expect(p.ServersToProbe(start)).To(BeEmpty(), "each is tried after a pause only")
	for _, s := range unreachable {
		p.RecordConnectSuccess(s, start)
	}
	g.Expect(p.Choose(placement.Request{Domain: "zone-0"}, start).Domain).To(Equal("zone-0"))
}

// TestNoRequestIsSentIntoADomainOutOfReach plays a cut of six seconds: the connections
// that look whether it is over fail, and no request, repeatable or not, is spent on it.
func TestNoRequestIsSentIntoADomainOutOfReach(t *testing.T) {
	g := NewWithT(t)
	p := placement.NewPool(false)
	p.SetServers(infos(9))
	request := placement.Request{Domain: "zone-0", Repeatable: true}
	spent := 0
	for now := start; now.Before(start.Add(6 * time.Second)); now = now.Add(50 * time.Millisecond) {
		s := p.Choose(request, now)
		p.RecordSend(s, now)
		kind := placement.ResultAnswered
		if s.Domain == "zone-0" {
			kind = placement.ResultUnreachable
			spent++
		}
		p.RecordResult(s, placement.Result{Kind: kind, FirstByte: 20 * time.Millisecond}, now)
		for _, lost := range p.ServersToProbe(now) {
			p.RecordConnectFailure(lost, now)
		}
	}
	g.Expect(spent).To(BeNumerically("<=", 2), "as many as it takes to see that the domain is out of reach")
}

// failFirst has the first server that is chosen fail all its requests, and returns its ID.
func failFirst(p *placement.Pool) string {
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

func TestARequestThatWasSentInVainIsNotSpentOnASuspectServer(t *testing.T) {
	g := NewWithT(t)
	p := placement.NewPool(false)
	p.SetServers(infos(3))
	failing := failFirst(p)
	later := start.Add(10 * time.Second)
	for _, other := range infos(3) {
		if other.ID != failing {
			g.Expect(p.Choose(placement.Request{Repeatable: true, Exclude: []string{other.ID}}, later).ID).NotTo(Equal(failing))
		}
	}
}

func TestAServerThatFailsIsTriedByRepeatableRequestsOnly(t *testing.T) {
	g := NewWithT(t)
	p := placement.NewPool(false)
	p.SetServers(infos(3))
	failing := failFirst(p)
	later := start.Add(10 * time.Second)
	for range 20 {
		g.Expect(p.Choose(placement.Request{}, later).ID).NotTo(Equal(failing))
	}
	g.Expect(p.Choose(placement.Request{Repeatable: true}, later).ID).To(Equal(failing))
	g.Expect(p.Choose(placement.Request{Repeatable: true}, later).ID).NotTo(Equal(failing), "one at a time")
}

func TestWhereAllServersFailAllAreUsed(t *testing.T) {
	g := NewWithT(t)
	p := placement.NewPool(false)
	p.SetServers(infos(3))
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

func TestBudgetBoundsRepeats(t *testing.T) {
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
	g.Expect(count(start)).To(Equal(17), "15% of 100 requests and two")
	g.Expect(count(start.Add(9 * time.Second))).To(BeZero())
	g.Expect(count(start.Add(11*time.Second))).To(Equal(2), "the window has passed")
}

func TestPromptsLeaveAServerThatHasTurnedSlowAndComeBack(t *testing.T) {
	g := NewWithT(t)
	p := placement.NewPool(true)
	p.SetServers(infos(6))
	var slow *placement.Server
	for _, info := range infos(6) {
		tell(p, info.ID, 5)
	}
	slow = p.Choose(prompt(42), start)
	for key := range uint64(200) {
		s := p.Choose(prompt(key), start)
		pace := 20 * time.Millisecond
		if s == slow {
			pace = 100 * time.Millisecond
		}
		p.RecordEventInterval(s, pace, start)
	}
	g.Expect(p.Choose(prompt(42), start).ID).NotTo(Equal(slow.ID))
	later := start.Add(15 * time.Second)
	for _, info := range infos(6) {
		tellAt(p, info.ID, 5, later)
	}
	g.Expect(p.Choose(prompt(42), later).ID).To(Equal(slow.ID), "it is tried again")
}

func TestAPlainServerThatWasSlowIsTriedAgain(t *testing.T) {
	g := NewWithT(t)
	p := placement.NewPool(false)
	p.SetServers(infos(2))
	answer := func(took time.Duration, now time.Time) string {
		s := p.Choose(placement.Request{}, now)
		p.RecordSend(s, now)
		p.RecordResult(s, placement.Result{Kind: placement.ResultAnswered, FirstByte: took}, now)
		return s.ID
	}
	slow := answer(500*time.Millisecond, start)
	other := answer(20*time.Millisecond, start)
	g.Expect(other).NotTo(Equal(slow))
	used := map[string]int{}
	for i := range 1200 {
		now := start.Add(time.Duration(i) * 50 * time.Millisecond)
		if i == 250 {
			g.Expect(used[slow]).To(BeNumerically(">", 0), "within 12.5 s")
		}
		used[answer(20*time.Millisecond, now)]++
	}
	g.Expect(used[other]).To(BeNumerically(">", 300))
	g.Expect(used[slow]).To(BeNumerically(">", 300), "of 1,200 in a minute")
}
