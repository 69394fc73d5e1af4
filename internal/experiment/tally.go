package experiment

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/balance"
)

// Range, in microseconds, and precision of the latency histograms.
const (
	minLatencyMicros  = 1
	maxLatencyMicros  = int64(time.Hour / time.Microsecond)
	significantDigits = 3
)

// Load bound of a server, in addition to the multiple of the mean.
const (
	// minBoundedMean is the lowest mean load to which the bound applies.
	minBoundedMean = 2.0
	// boundAllowance is the number of requests added to the multiple of the mean.
	boundAllowance = 1.0
)

// tally aggregates the measurements of a run. It records only while measuring is
// set, after the warm-up.
type tally struct {
	domain    *domain
	measuring bool

	firstByte map[api.Class]*hdrhistogram.Histogram
	whole     map[api.Class]*hdrhistogram.Histogram

	result Result
	// loadChanges counts the changes of a load, and changesOverBound those at which
	// a server was over the bound.
	loadChanges      int
	changesOverBound int
	// placements counts the requests sent to servers while the bound applied, and
	// placementsOverBound those that brought their server over the bound.
	placements          int
	placementsOverBound int
	// placementsOverAgreed counts those of placementsOverBound at which all routers
	// had the same servers in their tables.
	placementsOverAgreed int
	// ratioSum is the sum of the ratios of the highest load to the mean.
	ratioSum float64
	// reusableTokens counts the prompt tokens from earlier turns, and reusedTokens
	// those of them found in a cache.
	reusableTokens int
	reusedTokens   int
}

func newTally(d *domain) *tally {
	t := &tally{
		domain: d, firstByte: map[api.Class]*hdrhistogram.Histogram{}, whole: map[api.Class]*hdrhistogram.Histogram{},
	}
	for _, class := range []api.Class{api.ClassShort, api.ClassLong} {
		t.firstByte[class] = hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits)
		t.whole[class] = hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits)
	}
	return t
}

// recordPlacement checks the load of a server that has just received a request
// against the bound.
func (t *tally) recordPlacement(s *server) {
	if !t.measuring {
		return
	}
	total := 0
	for _, other := range t.domain.servers {
		total += other.load()
	}
	mean := float64(total) / float64(len(t.domain.servers))
	if mean < minBoundedMean {
		return
	}
	t.placements++
	excess := float64(s.load()) - balance.DefaultLoadBound*mean - boundAllowance
	t.result.WorstPlaced = max(t.result.WorstPlaced, excess)
	if excess > 0 {
		t.placementsOverBound++
		if t.domain.routersAgree() {
			t.placementsOverAgreed++
		}
	}
}

// recordLoads checks the loads of all servers against the bound. It is called at
// each change of a load.
func (t *tally) recordLoads() {
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
	if mean < minBoundedMean {
		return
	}
	t.loadChanges++
	t.ratioSum += float64(highest) / mean
	t.result.HighestRatio = max(t.result.HighestRatio, (float64(highest)-boundAllowance)/mean)
	excess := float64(highest) - balance.DefaultLoadBound*mean - boundAllowance
	t.result.WorstExcess = max(t.result.WorstExcess, excess)
	if excess > 0 {
		t.changesOverBound++
	}
}

func (t *tally) recordArrival(req *request) {
	if t.measuring {
		t.result.Arrived++
		if !req.surging {
			t.result.CalmArrived++
		}
	}
}

func (t *tally) recordRefusal(req *request) {
	if !t.measuring {
		return
	}
	t.result.Refused++
	if !req.surging {
		t.result.CalmRefused++
	}
	delay := t.domain.now - req.arrivedAt
	t.result.SlowestRefusalMS = max(t.result.SlowestRefusalMS, milliseconds(delay))
	if delay > earlyRefusalLimit {
		t.result.LateRefusals++
	}
}

// earlyRefusalLimit is the latency above which a refusal counts as late.
const earlyRefusalLimit = 100 * time.Millisecond

func (t *tally) recordFirstByte(req *request, j *job) {
	if !t.measuring {
		return
	}
	latency := t.domain.now - req.arrivedAt
	_ = t.firstByte[req.routing.Class].RecordValue(latency.Microseconds())
	if deadline := t.domain.description.DeadlineMS.Duration(); deadline > 0 && latency > deadline {
		t.result.MissedDeadlines++
	}
	t.reusableTokens += req.chat.turn * turnTokens
	t.reusedTokens += min(j.cachedTokens, req.chat.turn*turnTokens)
}

func (t *tally) recordCompletion(req *request) {
	if !t.measuring {
		return
	}
	t.result.Finished++
	_ = t.whole[req.routing.Class].RecordValue((t.domain.now - req.arrivedAt).Microseconds())
}

// recordSendToRemoved records a request sent to a server that was removed the given
// time ago.
func (t *tally) recordSendToRemoved(after time.Duration) {
	if t.measuring {
		t.result.SentToLeft++
		t.result.LatestToLeftMS = max(t.result.LatestToLeftMS, milliseconds(after))
	}
}

func (t *tally) summarize() Result {
	r := t.result
	r.CacheReuse = ratio(t.reusedTokens, t.reusableTokens)
	r.PlacedOver = ratio(t.placementsOverBound, t.placements)
	r.PlacedOverAgreed = ratio(t.placementsOverAgreed, t.placements)
	r.TimeOverBound = ratio(t.changesOverBound, t.loadChanges)
	if t.loadChanges > 0 {
		r.MeanRatio = t.ratioSum / float64(t.loadChanges)
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
