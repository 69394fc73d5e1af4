package load

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"peridotwinch.example/peridotwinch/internal/fakebackend"
)

// Parameters of the load sampling.
const (
	sampleInterval = 100 * time.Millisecond
	// ratioScale converts a ratio into an integer for the histogram.
	ratioScale = 1000
	// LoadBound is the multiple of the mean load that no server may exceed by more
	// than one request.
	LoadBound = 1.25
	// minMeanLoad is the lowest mean load to which the bound applies.
	minMeanLoad = 2
)

// skewMeter samples the load of the fake backend servers. The requests of one
// sample run concurrently, so their readings are not from exactly the same instant.
type skewMeter struct {
	backends []BackendTarget
	client   *http.Client

	ratios       *hdrhistogram.Histogram
	samples      int
	overBound    int
	highestRatio float64
}

func newSkewMeter(backends []BackendTarget) *skewMeter {
	return &skewMeter{
		backends: backends, client: &http.Client{Timeout: time.Second},
		ratios: hdrhistogram.New(1, 1_000_000, significantDigits),
	}
}

// run takes samples until ctx ends.
func (m *skewMeter) run(ctx context.Context) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			m.sample(ctx)
		}
	}
}

// sample reads the load of all servers and records each group. It omits servers
// that do not answer.
func (m *skewMeter) sample(ctx context.Context) {
	stats := make([]*fakebackend.Stats, len(m.backends))
	var wait sync.WaitGroup
	for i, backend := range m.backends {
		wait.Go(func() { stats[i] = m.fetchStats(ctx, backend.Address) })
	}
	wait.Wait()
	groups := make(map[string][]int)
	for i, backend := range m.backends {
		if stats[i] != nil {
			groups[backend.Group] = append(groups[backend.Group], stats[i].InFlight)
		}
	}
	for _, loads := range groups {
		m.recordGroup(loads)
	}
}

// fetchStats returns nil if the server does not answer.
func (m *skewMeter) fetchStats(ctx context.Context, address string) *fakebackend.Stats {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/stats", nil)
	if err != nil {
		return nil
	}
	resp, err := m.client.Do(req)
	if err != nil {
		return nil
	}
	defer func() { _ = resp.Body.Close() }()
	out := &fakebackend.Stats{}
	if json.NewDecoder(resp.Body).Decode(out) != nil {
		return nil
	}
	return out
}

// recordGroup records the ratio of the highest load of a group to its mean load.
func (m *skewMeter) recordGroup(loads []int) {
	highest, total := 0, 0
	for _, load := range loads {
		highest = max(highest, load)
		total += load
	}
	mean := float64(total) / float64(len(loads))
	if mean < minMeanLoad {
		return
	}
	ratio := float64(highest) / mean
	m.samples++
	m.highestRatio = max(m.highestRatio, ratio)
	_ = m.ratios.RecordValue(int64(ratio * ratioScale))
	if float64(highest) > LoadBound*mean+1 {
		m.overBound++
	}
}

// report returns nil if no group reached minMeanLoad.
func (m *skewMeter) report() *SkewReport {
	if m.samples == 0 {
		return nil
	}
	return &SkewReport{
		Samples: m.samples, OverBound: m.overBound, Highest: m.highestRatio,
		Median: float64(m.ratios.ValueAtQuantile(50)) / ratioScale,
		P99:    float64(m.ratios.ValueAtQuantile(99)) / ratioScale,
	}
}
