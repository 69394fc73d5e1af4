package experiment

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"text/tabwriter"

	"github.com/pkg/errors"

	"peridotwinch.example/peridotwinch/internal/balance"
	"peridotwinch.example/peridotwinch/internal/settings"
)

// Names of the policies in results.
const (
	nameProduct = "product"
	nameOracle  = "oracle"
)

// Latencies are quantiles of the time since the arrival of a request, in
// milliseconds.
type Latencies struct {
	FirstByteP50MS float64 `json:"firstByteP50Ms"`
	FirstByteP99MS float64 `json:"firstByteP99Ms"`
	WholeP50MS     float64 `json:"wholeP50Ms"`
	WholeP99MS     float64 `json:"wholeP99Ms"`
}

// Result holds the measurements of one policy.
type Result struct {
	Policy string `json:"policy"`
	// HighestRatio is the highest ratio of the maximum load, less one request, to
	// the mean load, over all instants with a mean of at least two requests per
	// server. MeanRatio is the mean ratio of the maximum load to the mean load.
	HighestRatio float64 `json:"highestRatio"`
	MeanRatio    float64 `json:"meanRatio"`
	// WorstExcess is the largest excess of a load over 1.25 times the mean plus one
	// request, and TimeOverBound the share of the instants with an excess. An
	// instant is a change of a load.
	WorstExcess   float64 `json:"worstExcess"`
	TimeOverBound float64 `json:"timeOverBound"`
	// PlacedOver is the share of the requests that brought their server over the
	// bound when they were placed, and WorstPlaced the largest excess.
	PlacedOver float64 `json:"placedOver"`
	// PlacedOverAgreed is the share of the requests that did so while all routers
	// had the same servers in their tables.
	PlacedOverAgreed float64 `json:"placedOverAgreed"`
	WorstPlaced      float64 `json:"worstPlaced"`
	// MostOverSlots is the largest number of requests on a server in excess of its
	// slots.
	MostOverSlots int `json:"mostOverSlots"`
	// CacheReuse is the share of the prompt tokens from earlier turns that was
	// found in a prefix cache.
	CacheReuse float64 `json:"cacheReuse"`

	Arrived  int `json:"arrived"`
	Finished int `json:"finished"`
	Refused  int `json:"refused"`
	// CalmArrived and CalmRefused count the requests of customers that do not
	// surge.
	CalmArrived int `json:"calmArrived"`
	CalmRefused int `json:"calmRefused"`
	// LateRefusals counts refusals after more than 100 ms.
	LateRefusals     int     `json:"lateRefusals"`
	SlowestRefusalMS float64 `json:"slowestRefusalMs"`
	// MissedDeadlines counts admitted requests whose first byte missed the
	// deadline.
	MissedDeadlines int `json:"missedDeadlines"`
	// SentToLeft counts the requests sent to servers that had been removed, and
	// LatestToLeftMS is the longest time from the removal to such a request.
	SentToLeft     int     `json:"sentToLeft"`
	LatestToLeftMS float64 `json:"latestToLeftMs"`

	Short Latencies `json:"short"`
	Long  Latencies `json:"long"`
}

// Run runs the description once with each policy. The results start with the
// oracle, if enabled.
func Run(d *Description) ([]Result, error) {
	var out []Result
	if d.Oracle {
		result, err := runPolicy(d, nameOracle, func(o *domain, _ *rand.Rand) (balance.Balancer, error) {
			return &oracle{domain: o}, nil
		})
		if err != nil {
			return nil, err
		}
		out = append(out, result)
	}
	for _, policy := range d.Policies {
		result, err := runPolicy(d, policyName(policy), func(_ *domain, random *rand.Rand) (balance.Balancer, error) {
			return balance.New(policy, random)
		})
		if err != nil {
			return nil, err
		}
		out = append(out, result)
	}
	return out, nil
}

func policyName(policy settings.Policy) string {
	if policy == settings.PolicyProduct {
		return nameProduct
	}
	return string(policy)
}

func runPolicy(d *Description, name string, newBalancer func(*domain, *rand.Rand) (balance.Balancer, error)) (Result, error) {
	o, err := newDomain(d, newBalancer)
	if err != nil {
		return Result{}, err
	}
	o.run()
	result := o.tally.summarize()
	result.Policy = name
	return result, nil
}

// WriteText writes the results as a text table.
func WriteText(w io.Writer, results []Result) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "policy\t(max-1)/mean\tmax/mean\tworst excess\tover bound\tplaced over\tworst placed\tover slots\treuse\tarrived\trefused\tcalm refused\tlate refusals\tmissed\tshort ttfb p99\tshort p50\tshort p99\tlong p99\t")
	for _, r := range results {
		fmt.Fprintf(table, "%s\t%.2f\t%.2f\t%.2f\t%.4f\t%.4f\t%.2f\t%d\t%.3f\t%d\t%d\t%d\t%d\t%d\t%.0f\t%.0f\t%.0f\t%.0f\t\n",
			r.Policy, r.HighestRatio, r.MeanRatio, r.WorstExcess, r.TimeOverBound, r.PlacedOver, r.WorstPlaced, r.MostOverSlots, r.CacheReuse,
			r.Arrived, r.Refused, r.CalmRefused, r.LateRefusals, r.MissedDeadlines,
			r.Short.FirstByteP99MS, r.Short.WholeP50MS, r.Short.WholeP99MS, r.Long.WholeP99MS)
	}
	return errors.Wrap(table.Flush(), "write results table")
}

// WriteJSON writes the results as JSON.
func WriteJSON(w io.Writer, results []Result) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(results), "write results")
}
