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
	minLatencyMicros  = 1
	maxLatencyMicros  = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// series holds the histograms of one class or customer.
type series struct {
	firstToken, betweenTokens, whole, refused *hdrhistogram.Histogram
	// late counts answers whose first token missed the deadline.
	late int
}

func newSeries() *series {
	histogram := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits)
	}
	return &series{firstToken: histogram(), betweenTokens: histogram(), whole: histogram(), refused: histogram()}
}

// record clamps a latency to the range of the histogram.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), minLatencyMicros), maxLatencyMicros))
}

func (s *series) add(r result, deadline time.Duration) {
	if r.failure != nil {
		if r.failure.Outcome == api.OutcomeNotRun {
			record(s.refused, r.whole)
		}
		return
	}
	record(s.firstToken, r.firstToken)
	record(s.whole, r.whole)
	for _, gap := range r.tokenGaps {
		record(s.betweenTokens, gap)
	}
	if deadline > 0 && r.firstToken > deadline {
		s.late++
	}
}

// outcomeKey groups requests with the same result.
type outcomeKey struct {
	code    api.Code
	outcome api.Outcome
}

// tally aggregates results. It is safe for concurrent use.
type tally struct {
	mix *Mix

	mu                sync.Mutex
	classes           map[string]*series
	customers         map[string]*series
	crest             map[string]*series
	outcomes          map[outcomeKey]int
	faults            []string
	sent              int
	dropped           int
	completionTokens  int
	promptTokens      int
	cachedTokens      int
	reusableTokens    int
	reusedTokens      int
	returningRequests int
}

// maxReportedFaults bounds the incorrect answers that a report describes.
const maxReportedFaults = 5

func newTally(mix *Mix) *tally {
	return &tally{
		mix: mix, classes: make(map[string]*series), customers: make(map[string]*series),
		crest: make(map[string]*series), outcomes: make(map[outcomeKey]int),
	}
}

// add counts a result. reusable is the number of reusable prompt tokens of the chat
// before the request.
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
	seriesFor(t.classes, c.shape.Name).add(r, deadline)
	seriesFor(t.customers, c.customer.Name).add(r, deadline)
	if t.mix.inCrest(a.at) {
		seriesFor(t.crest, c.customer.Name).add(r, deadline)
	}
}

func (t *tally) addOutcome(r result) {
	key := outcomeKey{code: api.CodeOK}
	if r.failure != nil {
		key = outcomeKey{code: r.failure.Code, outcome: r.failure.Outcome}
	}
	t.outcomes[key]++
	if key.code == api.CodeLoadNotWhole && len(t.faults) < maxReportedFaults {
		t.faults = append(t.faults, r.failure.Message)
	}
}

// addCache counts the tokens of a successful request.
func (t *tally) addCache(reusable int, r result) {
	if r.failure != nil {
		return
	}
	t.completionTokens += r.usage.CompletionTokens
	t.promptTokens += r.usage.PromptTokens
	t.cachedTokens += r.usage.CachedTokens
	if reusable > 0 {
		t.returningRequests++
		t.reusableTokens += reusable
		t.reusedTokens += min(reusable, r.usage.CachedTokens)
	}
}

func (t *tally) addDropped() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropped++
}

func seriesFor(byName map[string]*series, name string) *series {
	s := byName[name]
	if s == nil {
		s = newSeries()
		byName[name] = s
	}
	return s
}

func (t *tally) outcomeCounts() []OutcomeCount {
	var out []OutcomeCount
	for key, count := range t.outcomes {
		out = append(out, OutcomeCount{Code: key.code, Name: key.code.String(), Outcome: key.outcome, Count: count})
	}
	slices.SortFunc(out, func(a, b OutcomeCount) int {
		return cmp.Or(cmp.Compare(a.Code, b.Code), cmp.Compare(a.Outcome, b.Outcome))
	})
	return out
}
