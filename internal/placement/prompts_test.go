package placement_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/internal/placement"
	"peridotwinch.example/peridotwinch/internal/prefill"
)

// sizedRequest returns a request for a long or a short prompt with the key.
func sizedRequest(key uint64, long bool) placement.Request {
	tokens := 700
	if long {
		tokens = 10_000
	}
	return placement.Request{Parts: []placement.PromptPart{{ID: key, Tokens: tokens}, {ID: key + 1e6, Tokens: 300}}}
}

// separatedPool returns a pool of 18 servers whose prompts have sizes in random order.
func separatedPool(seed uint64) *placement.Pool {
	p := placement.NewPool(true)
	p.SeparatePrompts()
	infos := serverInfos(18)
	for i := range infos {
		infos[i].Hash = uint64(i + 1)
	}
	p.SetServers(infos, start)
	random := rand.New(rand.NewPCG(seed, 1))
	for range 512 {
		request := sizedRequest(random.Uint64N(1e9), random.IntN(4) == 0)
		p.CopySource(p.Choose(request, start.Add(-time.Hour)), request, start.Add(-time.Hour))
	}
	return p
}

// homes returns the servers of 1,000 long and 1,000 short prompts on an idle pool.
func homes(p *placement.Pool) (long, short map[uint64]string) {
	long, short = make(map[uint64]string), make(map[uint64]string)
	for key := range uint64(1000) {
		long[key] = p.Choose(sizedRequest(key, true), start).ID
		short[key] = p.Choose(sizedRequest(key, false), start).ID
	}
	return long, short
}

// TestSeparatedPromptsHaveTheSameServersOnAllRouters guards against prompts that are prefilled on
// several servers because routers divide the pool differently.
func TestSeparatedPromptsHaveTheSameServersOnAllRouters(t *testing.T) {
	g := NewWithT(t)
	firstLong, firstShort := homes(separatedPool(1))
	secondLong, secondShort := homes(separatedPool(2))
	g.Expect(secondLong).To(Equal(firstLong))
	g.Expect(secondShort).To(Equal(firstShort))
	shortServers, longOnThem := make(map[string]bool), 0
	for _, id := range firstShort {
		shortServers[id] = true
	}
	for _, id := range firstLong {
		if shortServers[id] {
			longOnThem++
		}
	}
	g.Expect(shortServers).To(HaveLen(9))
	g.Expect(longOnThem).To(BeNumerically("~", 333, 100), "short prompts meet half as many long ones as on other servers")
}

// TestReplacedServerMovesFewSeparatedPrompts guards against a division that is made anew with each
// change of the servers: all moved prompts would be prefilled again.
func TestReplacedServerMovesFewSeparatedPrompts(t *testing.T) {
	g := NewWithT(t)
	p := separatedPool(1)
	long, short := homes(p)
	infos := serverInfos(18)
	infos[5].ID = "i-new"
	p.SetServers(infos, start)
	newLong, newShort := homes(p)
	moved := 0
	for key := range uint64(1000) {
		if long[key] != newLong[key] {
			moved++
		}
		if short[key] != newShort[key] {
			moved++
		}
	}
	// One server in 18 is replaced and at most one other changes its part of the pool.
	g.Expect(moved).To(BeNumerically("<", 2000*4/18))
}

// TestLongPromptsUseServersOfShortOnesUnderLoad guards against the starvation of long prompts: they
// never wait for a server of their own while another one has less than the load bound allows.
func TestLongPromptsUseServersOfShortOnesUnderLoad(t *testing.T) {
	g := NewWithT(t)
	p := separatedPool(1)
	_, short := homes(p)
	shortServers := make(map[string]bool)
	for _, id := range short {
		shortServers[id] = true
	}
	for _, running := range [][2]int{{40, 1}, {64, 63}} {
		for i, info := range serverInfos(18) {
			load := placement.Load{Running: running[0], Slots: 64, At: start}
			if shortServers[info.ID] {
				load.Running = running[1]
			}
			p.RecordPeerLoad(uint64(i+1), load)
		}
		for key := range uint64(100) {
			s := p.Choose(sizedRequest(key, true), start)
			g.Expect(shortServers).To(HaveKey(s.ID))
			g.Expect(s.Choice.Class).To(Equal(prefill.ClassLong))
		}
	}
}

// TestPoolWithoutPrefixCacheIsNotSeparated guards against a pool without engines that is divided.
func TestPoolWithoutPrefixCacheIsNotSeparated(t *testing.T) {
	g := NewWithT(t)
	p := placement.NewPool(false)
	p.SeparatePrompts()
	p.SetServers(serverInfos(18), start)
	shortServers, boundary := p.PromptClasses()
	g.Expect(shortServers + boundary).To(BeZero())
	g.Expect(p.Choose(sizedRequest(7, true), start).Choice.Class).To(Equal(prefill.ClassNone))
}
