package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/HdrHistogram/hdrhistogram-go"

	"peridotwinch.example/peridotwinch/api"
)

// Report holds the measurements of a run.
type Report struct {
	Seed    uint64 `json:"seed"`
	Sent    int    `json:"sent"`
	Dropped int    `json:"dropped"`
	// NotWhole counts answers that were truncated without an explicit error or did
	// not belong to their request. Faults describes the first of them.
	NotWhole int      `json:"notWhole"`
	Faults   []string `json:"faults,omitempty"`
	// Tokens counts the generated tokens of requests that arrived after the
	// warm-up.
	Tokens    int            `json:"tokens"`
	Outcomes  []OutcomeCount `json:"outcomes"`
	Classes   []SeriesReport `json:"classes"`
	Customers []SeriesReport `json:"customers"`
	// Crest has the latencies, per customer, of the requests that arrived during
	// the crest.
	Crest   []SeriesReport `json:"crest,omitempty"`
	Cache   CacheReport    `json:"cache"`
	Skew    *SkewReport    `json:"skew,omitempty"`
	Routers []DaemonReport `json:"routers,omitempty"`
}

// OutcomeCount counts the requests with the same result code and outcome.
type OutcomeCount struct {
	Code    api.Code    `json:"code"`
	Name    string      `json:"name"`
	Outcome api.Outcome `json:"outcome,omitempty"`
	Count   int         `json:"count"`
}

// SeriesReport has the latencies of one class or customer.
type SeriesReport struct {
	Name string `json:"name"`
	// Late counts answered requests whose first token missed the deadline.
	Late    int      `json:"late"`
	First   Quantile `json:"firstToken"`
	Between Quantile `json:"betweenTokens"`
	Whole   Quantile `json:"whole"`
	// Refused has the latencies of requests refused without having run.
	Refused Quantile `json:"refused"`
}

// Quantile has quantiles of a histogram in milliseconds.
type Quantile struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50Ms"`
	P95   float64 `json:"p95Ms"`
	P99   float64 `json:"p99Ms"`
	Max   float64 `json:"maxMs"`
}

// CacheReport has the prompt tokens that backend servers found in their prefix
// caches.
type CacheReport struct {
	PromptTokens int `json:"promptTokens"`
	CachedTokens int `json:"cachedTokens"`
	// Returns counts requests of chats with an earlier answer. ReusableTokens is
	// the part of their prompts that earlier turns left in a cache, and
	// ReusedTokens the part of it that backend servers reused.
	Returns        int     `json:"returns"`
	ReusableTokens int     `json:"reusableTokens"`
	ReusedTokens   int     `json:"reusedTokens"`
	Reuse          float64 `json:"reuse"`
}

// SkewReport has the ratio of the highest load of a server to the mean load of its
// group.
type SkewReport struct {
	Samples int `json:"samples"`
	// OverBound counts samples above LoadBound times the mean plus one request.
	OverBound int     `json:"overBound"`
	Median    float64 `json:"median"`
	P99       float64 `json:"p99"`
	Highest   float64 `json:"highest"`
}

// DaemonReport has the resource use of a daemon during the run.
type DaemonReport struct {
	Name                  string             `json:"name"`
	Seconds               float64            `json:"seconds"`
	CPUSeconds            float64            `json:"cpuSeconds"`
	ResidentBytes         int64              `json:"residentBytes"`
	HeapBytes             int64              `json:"heapBytes"`
	ControlBytesPerSecond map[string]float64 `json:"controlBytesPerSecond"`
	ControlTotal          float64            `json:"controlTotal"`
}

func (t *tally) report() *Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := &Report{
		Seed: t.mix.Seed, Sent: t.sent, Dropped: t.dropped, Faults: t.faults, Tokens: t.completionTokens,
		Outcomes: t.outcomeCounts(), Classes: seriesReports(t.classes), Customers: seriesReports(t.customers), Crest: seriesReports(t.crest),
		Cache: CacheReport{
			PromptTokens: t.promptTokens, CachedTokens: t.cachedTokens, Returns: t.returningRequests,
			ReusableTokens: t.reusableTokens, ReusedTokens: t.reusedTokens,
		},
	}
	if t.reusableTokens > 0 {
		out.Cache.Reuse = float64(t.reusedTokens) / float64(t.reusableTokens)
	}
	for key, count := range t.outcomes {
		if key.code == api.CodeLoadNotWhole {
			out.NotWhole += count
		}
	}
	return out
}

func seriesReports(byName map[string]*series) []SeriesReport {
	var out []SeriesReport
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		s := byName[name]
		out = append(out, SeriesReport{
			Name: name, Late: s.late, First: quantiles(s.firstToken), Between: quantiles(s.betweenTokens),
			Whole: quantiles(s.whole), Refused: quantiles(s.refused),
		})
	}
	return out
}

func quantiles(h *hdrhistogram.Histogram) Quantile {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantile{Count: h.TotalCount(), P50: at(50), P95: at(95), P99: at(99), Max: float64(h.Max()) / 1000}
}

// Print writes the report as text.
func (r *Report) Print(w io.Writer) {
	fmt.Fprintf(w, "seed %d: %d sent, %d dropped, %d not whole, %d tokens\n", r.Seed, r.Sent, r.Dropped, r.NotWhole, r.Tokens)
	for _, fault := range r.Faults {
		fmt.Fprintf(w, "  not whole: %s\n", fault)
	}
	for _, o := range r.Outcomes {
		fmt.Fprintf(w, "  %4d %-20s %-13s %d\n", o.Code, o.Name, o.Outcome, o.Count)
	}
	printSeries(w, "class", r.Classes)
	printSeries(w, "customer", r.Customers)
	printSeries(w, "in the crest", r.Crest)
	fmt.Fprintf(w, "cache: %.1f%% of %d reusable tokens reused by %d returning requests\n", 100*r.Cache.Reuse, r.Cache.ReusableTokens, r.Cache.Returns)
	if r.Skew != nil {
		fmt.Fprintf(w, "load, highest over mean: median %.2f, p99 %.2f, highest %.2f; %d of %d samples over %.2f x mean + 1\n",
			r.Skew.Median, r.Skew.P99, r.Skew.Highest, r.Skew.OverBound, r.Skew.Samples, LoadBound)
	}
	for _, router := range r.Routers {
		fmt.Fprintf(w, "router %-12s cpu %.2f s in %.1f s, %.1f MB, control %.0f B/s%s\n", router.Name, router.CPUSeconds, router.Seconds,
			float64(router.ResidentBytes)/1e6, router.ControlTotal, formatRates(router.ControlBytesPerSecond))
	}
}

func printSeries(w io.Writer, title string, reports []SeriesReport) {
	if len(reports) == 0 {
		return
	}
	fmt.Fprintf(w, "%-14s %7s | %27s | %27s | %27s | refused\n", title, "count", "first token p50/p95/p99 ms", "between p50/p95/p99 ms", "whole p50/p95/p99 ms")
	for _, s := range reports {
		fmt.Fprintf(w, "%-14s %7d | %27s | %27s | %27s | %d, max %.1f ms; %d late\n",
			s.Name, s.Whole.Count, s.First, s.Between, s.Whole, s.Refused.Count, s.Refused.Max, s.Late)
	}
}

// String returns the quantiles as "p50/p95/p99".
func (q Quantile) String() string { return fmt.Sprintf("%.1f/%.1f/%.1f", q.P50, q.P95, q.P99) }

func formatRates(rates map[string]float64) string {
	var out strings.Builder
	for _, purpose := range slices.Sorted(maps.Keys(rates)) {
		fmt.Fprintf(&out, " %s %.0f", purpose, rates[purpose])
	}
	return out.String()
}
