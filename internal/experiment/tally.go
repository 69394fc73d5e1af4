package experiment

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/balance"
)

// Parameters of the histograms, in microseconds.
const (
	lowestLatency  = 1
	highestLatency = int64(time.Hour / time.Microsecond)
	latencyDigits  = 3
)

// Bound on the load of a server.
const (
	// boundMean is the mean load from which on the bound holds.
	boundMean = 2.0
	// boundPlus is added to the multiple of the mean.
	boundPlus = 1.0
)

// tally collects the measures of a run.
type tally struct {
	domain    *domain
	measuring bool

	firstByte map[api.Class]*hdrhistogram.Histogram
	whole     map[api.Class]*hdrhistogram.Histogram

	result Result
	// changes counts the changes of a load, and over those at which a server is
	// over the bound.
	changes int
	over    int
	// placements counts the requests given to servers, and placedOver those that
	// brought a server over the bound.
	placements int
	placedOver int
	// placedOverAgreed counts those of placedOver while all routers knew the same
	// servers.
	placedOverAgreed int
	// ratios sums the highest load over the mean.
	ratios float64
	// prompted and reused count the tokens of earlier turns, and those cached.
	prompted int
	reused   int
}

func newTally(d *domain) *tally {
	t := &tally{
		domain: d, firstByte: map[api.Class]*hdrhistogram.Histogram{}, whole: map[api.Class]*hdrhistogram.Histogram{},
	}
	for _, class := range []api.Class{api.ClassShort, api.ClassLong} {
		t.firstByte[class] = hdrhistogram.New(lowestLatency, highestLatency, latencyDigits)
		t.whole[class] = hdrhistogram.New(lowestLatency, highestLatency, latencyDigits)
	}
	return t
}

// placed looks at the load of a server that has just got a request.
func (t *tally) placed(s *server) {
	if !t.measuring {
		return
	}
	total := 0
	for _, other := range t.domain.servers {
		total += other.load()
	}
	mean := float64(total) / float64(len(t.domain.servers))
	if mean < boundMean {
		return
	}
	t.placements++
	excess := float64(s.load()) - balance.DefaultLoadBound*mean - boundPlus
	t.result.WorstPlaced = max(t.result.WorstPlaced, excess)
	if excess > 0 {
		t.placedOver++
		if t.domain.agree() {
			t.placedOverAgreed++
		}
	}
}

// loadChanged looks at the load of all servers.
func (t *tally) loadChanged() {
	if !t.measuring {
		return
	}
	highest, total := 0, 0
	for _, s := range t.domain.servers {
		load := s.load()
		total += load
		highest = max(highest, load)
		t.result.MostOverSlots = max(t.result.MostOverSlots, load-s.slots)
	}
	mean := float64(total) / float64(len(t.domain.servers))
	if mean < boundMean {
		return
	}
	t.changes++
	t.ratios += float64(highest) / mean
	t.result.HighestRatio = max(t.result.HighestRatio, (float64(highest)-boundPlus)/mean)
	excess := float64(highest) - balance.DefaultLoadBound*mean - boundPlus
	t.result.WorstExcess = max(t.result.WorstExcess, excess)
	if excess > 0 {
		t.over++
	}
}

func (t *tally) arrived(req *request) {
	if t.measuring {
		t.result.Arrived++
		if !req.surging {
			t.result.CalmArrived++
		}
	}
}

func (t *tally) refused(req *request) {
	if !t.measuring {
		return
	}
	t.result.Refused++
	if !req.surging {
		t.result.CalmRefused++
	}
	delay := t.domain.now - req.arrived
	t.result.SlowestRefusalMS = max(t.result.SlowestRefusalMS, milliseconds(delay))
	if delay > refusalBound {
		t.result.LateRefusals++
	}
}

// refusalBound is the time within which a refusal is early.
const refusalBound = 100 * time.Millisecond

func (t *tally) answered(req *request, j *job) {
	if !t.measuring {
		return
	}
	latency := t.domain.now - req.arrived
	_ = t.firstByte[req.ask.Class].RecordValue(latency.Microseconds())
	if deadline := t.domain.description.DeadlineMS.Duration(); deadline > 0 && latency > deadline {
		t.result.MissedDeadlines++
	}
	t.prompted += req.chat.turn * turnTokens
	t.reused += min(j.cached, req.chat.turn*turnTokens)
}

func (t *tally) finished(req *request) {
	if !t.measuring {
		return
	}
	t.result.Finished++
	_ = t.whole[req.ask.Class].RecordValue((t.domain.now - req.arrived).Microseconds())
}

// sentToLeft records a request to a server that has left for some time.
func (t *tally) sentToLeft(after time.Duration) {
	if t.measuring {
		t.result.SentToLeft++
		t.result.LatestToLeftMS = max(t.result.LatestToLeftMS, milliseconds(after))
	}
}

func (t *tally) finish() Result {
	r := t.result
	r.CacheReuse = ratio(t.reused, t.prompted)
	r.PlacedOver = ratio(t.placedOver, t.placements)
	r.PlacedOverAgreed = ratio(t.placedOverAgreed, t.placements)
	r.TimeOverBound = ratio(t.over, t.changes)
	if t.changes > 0 {
		r.MeanRatio = t.ratios / float64(t.changes)
	}
	r.Short = t.latencies(api.ClassShort)
	r.Long = t.latencies(api.ClassLong)
	return r
}

func (t *tally) latencies(class api.Class) Latencies {
	return Latencies{
		FirstByteP50MS: quantile(t.firstByte[class], 50),
		FirstByteP99MS: quantile(t.firstByte[class], 99),
		WholeP50MS:     quantile(t.whole[class], 50),
		WholeP99MS:     quantile(t.whole[class], 99),
	}
}

func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func ratio(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
