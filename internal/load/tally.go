package load

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"peridotwinch.example/peridotwinch/api"
)

// Range and precision of the histograms, in microseconds.
const (
	lowestMicros  = 1
	highestMicros = int64(10 * time.Minute / time.Microsecond)
	digits        = 3
)

// series are the histograms of one class or customer.
type series struct {
	first, between, whole, refused *hdrhistogram.Histogram
	late                           int
}

func newSeries() *series {
	histogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(lowestMicros, highestMicros, digits) }
	return &series{first: histogram(), between: histogram(), whole: histogram(), refused: histogram()}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), lowestMicros), highestMicros))
}

func (s *series) add(r result, deadline time.Duration) {
	if r.failure != nil {
		if r.failure.Outcome == api.OutcomeNotRun {
			record(s.refused, r.whole)
		}
		return
	}
	record(s.first, r.first)
	record(s.whole, r.whole)
	for _, gap := range r.gaps {
		record(s.between, gap)
	}
	if deadline > 0 && r.first > deadline {
		s.late++
	}
}

// outcomeKey names a way in which requests ended.
type outcomeKey struct {
	code    api.Code
	outcome api.Outcome
}

// tally collects results. It is safe for concurrent use.
type tally struct {
	mix *Mix

	mu        sync.Mutex
	classes   map[string]*series
	customers map[string]*series
	crest     map[string]*series
	outcomes  map[outcomeKey]int
	faults    []string
	sent      int
	dropped   int
	tokens    int
	prompt    int
	cached    int
	reusable  int
	reused    int
	returns   int
}

// maxFaults bounds the faulty answers that a report describes.
const maxFaults = 5

func newTally(mix *Mix) *tally {
	return &tally{
		mix: mix, classes: make(map[string]*series), customers: make(map[string]*series),
		crest: make(map[string]*series), outcomes: make(map[outcomeKey]int),
	}
}

// add counts a result of a chat whose reusable tokens were known before the request.
func (t *tally) add(a arrival, c *chat, reusable int, r result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent++
	t.addOutcome(r)
	if a.at < t.mix.Warmup() {
		return
	}
	t.addCache(reusable, r)
	deadline := c.shape.Deadline()
	seriesOf(t.classes, c.shape.Name).add(r, deadline)
	seriesOf(t.customers, c.customer.Name).add(r, deadline)
	if t.mix.inCrest(a.at) {
		seriesOf(t.crest, c.customer.Name).add(r, deadline)
	}
}

func (t *tally) addOutcome(r result) {
	key := outcomeKey{code: api.CodeOK}
	if r.failure != nil {
		key = outcomeKey{code: r.failure.Code, outcome: r.failure.Outcome}
	}
	t.outcomes[key]++
	if key.code == api.CodeLoadNotWhole && len(t.faults) < maxFaults {
		t.faults = append(t.faults, r.failure.Message)
	}
}

func (t *tally) addCache(reusable int, r result) {
	if r.failure != nil {
		return
	}
	t.tokens += r.usage.CompletionTokens
	t.prompt += r.usage.PromptTokens
	t.cached += r.usage.CachedTokens
	if reusable > 0 {
		t.returns++
		t.reusable += reusable
		t.reused += min(reusable, r.usage.CachedTokens)
	}
}

func (t *tally) drop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropped++
}

func seriesOf(all map[string]*series, name string) *series {
	s := all[name]
	if s == nil {
		s = newSeries()
		all[name] = s
	}
	return s
}

func (t *tally) outcomeList() []OutcomeCount {
	var out []OutcomeCount
	for key, count := range t.outcomes {
		out = append(out, OutcomeCount{Code: key.code, Name: key.code.String(), Outcome: key.outcome, Count: count})
	}
	slices.SortFunc(out, func(a, b OutcomeCount) int {
		return cmp.Or(cmp.Compare(a.Code, b.Code), cmp.Compare(a.Outcome, b.Outcome))
	})
	return out
}
