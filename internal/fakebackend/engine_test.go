package fakebackend

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"peridotwinch.example/peridotwinch/api"
)

var timing = Timing{Token: 10 * time.Millisecond, PerRequest: time.Millisecond, PerPromptToken: time.Millisecond}

func newJob(chat string, class api.Class, promptTokens, tokens int) *job {
	return &job{
		chat: chat, class: class, tokensLeft: tokens, ready: make(chan struct{}, tokens),
		prompt: []segment{{digest: uint64(len(chat)), tokens: promptTokens}},
	}
}

// step runs one step and returns its duration.
func step(e *engine) time.Duration {
	length := e.beginStep()
	e.finishStep()
	return length
}

func TestStepDurationGrowsWithBatchAndPrompt(t *testing.T) {
	g := NewWithT(t)
	e := newEngine(timing, 8, 1000)
	e.submit(newJob("a", api.ClassShort, 5, 2))
	g.Expect(step(e)).To(Equal(15 * time.Millisecond))
	e.submit(newJob("b", api.ClassShort, 0, 2))
	g.Expect(step(e)).To(Equal(11 * time.Millisecond))
	g.Expect(step(e)).To(Equal(10 * time.Millisecond))
	g.Expect(e.idle()).To(BeTrue())
}

func TestShortJobsAreAdmittedBeforeLongJobs(t *testing.T) {
	g := NewWithT(t)
	e := newEngine(timing, 1, 1000)
	long, firstShort, secondShort := newJob("l", api.ClassLong, 0, 1), newJob("s1", api.ClassShort, 0, 1), newJob("s2", api.ClassShort, 0, 1)
	for _, j := range []*job{long, firstShort, secondShort} {
		e.submit(j)
	}
	for _, next := range []*job{firstShort, secondShort, long} {
		step(e)
		g.Expect(next.ready).To(HaveLen(1))
	}
}

func TestNextTurnOfChatReusesCachedPrompt(t *testing.T) {
	g := NewWithT(t)
	e := newEngine(timing, 1, 1000)
	first := newJob("a", api.ClassShort, 100, 1)
	e.submit(first)
	step(e)
	answer := segment{digest: 7, tokens: 20}
	e.cacheTurn(first, answer)
	second := newJob("a", api.ClassShort, 100, 1)
	second.prompt = append(second.prompt, answer, segment{digest: 8, tokens: 30})
	e.submit(second)
	g.Expect(step(e)).To(Equal(timing.Token + 30*timing.PerPromptToken))
	g.Expect(second.cached).To(Equal(120))
}

func TestCancelledJobIsRemovedFromBatch(t *testing.T) {
	g := NewWithT(t)
	e := newEngine(timing, 1, 1000)
	running, waiting := newJob("a", api.ClassLong, 0, 100), newJob("b", api.ClassShort, 0, 1)
	e.submit(running)
	step(e)
	e.submit(waiting)
	e.cancel(running)
	step(e)
	g.Expect(waiting.ready).To(HaveLen(1))
	g.Expect(e.load()).To(BeZero())
}

func TestCacheStaysWithinTokenLimitAndReportsEvictions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(0, 50).Draw(t, "limit")
		cache := newPrefixCache(limit)
		held := map[string]int{}
		for i := range rapid.IntRange(1, 40).Draw(t, "stores") {
			chat := fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "chat"))
			prefix := []segment{{digest: uint64(i), tokens: rapid.IntRange(0, 30).Draw(t, "tokens")}}
			held[chat] = prefix[0].tokens
			for _, evicted := range cache.store(chat, prefix) {
				delete(held, evicted)
			}
			if cache.tokens > limit {
				t.Fatalf("the cache holds %d tokens, limit %d", cache.tokens, limit)
			}
			if len(held) != len(cache.entries) {
				t.Fatalf("the eviction events leave %d chats, the cache holds %d", len(held), len(cache.entries))
			}
		}
	})
}

func TestLoadReportsLagAndEventsAreDelayedAndLost(t *testing.T) {
	g := NewWithT(t)
	start := time.Unix(0, 0)
	history := loadHistory{lag: 2 * time.Second}
	for i, want := range []int{0, 0, 0, 1, 2} {
		g.Expect(history.record(start.Add(time.Duration(i)*time.Second), i)).To(Equal(want))
	}
	feed := eventFeed{delay: time.Second, loss: 0.5, random: rand.New(rand.NewPCG(1, 1))}
	for range 100 {
		feed.add(start, cacheChange{chat: "a"})
	}
	g.Expect(feed.takeDue(start)).To(BeEmpty())
	events := feed.takeDue(start.Add(time.Second))
	g.Expect(len(events)).To(And(BeNumerically(">", 25), BeNumerically("<", 75)))
	g.Expect(events[len(events)-1].Sequence).To(BeNumerically(">", len(events)))
}

func TestSlowScheduleIsSlowForConfiguredShareOfTime(t *testing.T) {
	g := NewWithT(t)
	schedule := slowSchedule{factor: 10, every: 3 * time.Second, duration: time.Second, random: rand.New(rand.NewPCG(1, 1))}
	slow := 0
	for i := range 10_000 {
		if schedule.factorAt(time.Unix(0, 0).Add(time.Duration(i)*100*time.Millisecond)) > 1 {
			slow++
		}
	}
	g.Expect(slow).To(BeNumerically("~", 2500, 250))
}
