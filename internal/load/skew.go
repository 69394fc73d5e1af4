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

// Sampling of the stand-ins' load.
const (
	sampleEvery = 100 * time.Millisecond
	// skewScale turns a ratio into the histogram's whole numbers.
	skewScale = 1000
	// LoadBound is the multiple of the mean that no server's load may exceed,
	// beside one request.
	LoadBound = 1.25
	// minMeanLoad is the mean load from which the bound counts.
	minMeanLoad = 2
)

// skewMeter samples the load of the stand-ins. The samples of one round are
// taken side by side, not at one instant.
type skewMeter struct {
	backends []BackendTarget
	client   *http.Client

	ratios  *hdrhistogram.Histogram
	rounds  int
	over    int
	highest float64
}

func newSkewMeter(backends []BackendTarget) *skewMeter {
	return &skewMeter{
		backends: backends, client: &http.Client{Timeout: time.Second},
		ratios: hdrhistogram.New(1, 1_000_000, digits),
	}
}

// run samples until ctx ends.
func (m *skewMeter) run(ctx context.Context) {
	ticker := time.NewTicker(sampleEvery)
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

func (m *skewMeter) sample(ctx context.Context) {
	stats := make([]*fakebackend.Stats, len(m.backends))
	var wait sync.WaitGroup
	for i, backend := range m.backends {
		wait.Go(func() { stats[i] = m.stats(ctx, backend.Address) })
	}
	wait.Wait()
	groups := make(map[string][]int)
	for i, backend := range m.backends {
		if stats[i] != nil {
			groups[backend.Group] = append(groups[backend.Group], stats[i].InFlight)
		}
	}
	for _, loads := range groups {
		m.judge(loads)
	}
}

func (m *skewMeter) stats(ctx context.Context, address string) *fakebackend.Stats {
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

// judge compares the highest load of a group with its mean.
func (m *skewMeter) judge(loads []int) {
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
	m.rounds++
	m.highest = max(m.highest, ratio)
	_ = m.ratios.RecordValue(int64(ratio * skewScale))
	if float64(highest) > LoadBound*mean+1 {
		m.over++
	}
}

func (m *skewMeter) report() *SkewReport {
	if m.rounds == 0 {
		return nil
	}
	return &SkewReport{
		Samples: m.rounds, OverBound: m.over, Highest: m.highest,
		Median: float64(m.ratios.ValueAtQuantile(50)) / skewScale,
		P99:    float64(m.ratios.ValueAtQuantile(99)) / skewScale,
	}
}
