// Package measure starts deployments of the users' sizes as real processes and
// measures them. Without -measure it only checks, on a small deployment, that the
// measurements run.
package measure

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/load"
	"peridotwinch.example/peridotwinch/internal/settings"
	"peridotwinch.example/peridotwinch/internal/testcluster"
)

var (
	fullMeasurement = flag.Bool("measure", false, "run the measurements in full")
	policies        = flag.String("policies", "", "routing policies to compare, separated by commas; empty is the product's")
	seed            = flag.Uint64("seed", 1, "seed of the load")
	verbose         = flag.Bool("report", false, "print each run's report")
)

func TestMain(m *testing.M) { testcluster.Main(m) }

// smokeDurationMS is the duration of a run without -measure, in milliseconds.
const smokeDurationMS = 1000

// runOptions describes one run of a mix on a deployment.
type runOptions struct {
	policy settings.Policy
	mix    *load.Mix
	// change edits the specification before the start; it may be nil.
	change func(*testcluster.Spec)
	// during runs concurrently with the load until its context ends; it may be nil.
	during func(ctx context.Context, s *system)
}

// run starts the deployment, runs the mix and returns the load's report. Without
// -measure it runs a short load on a small deployment, without change and during.
func (d deployment) run(t *testing.T, options runOptions) *load.Report {
	mix := *options.mix
	mix.Seed = *seed
	change := options.change
	if !*fullMeasurement {
		d = d.small()
		mix.DurationMS, mix.WarmupMS, mix.RatePerSecond, mix.Crest = smokeDurationMS, 0, 20, nil
		change = nil
	}
	s := d.start(t, settings.Routing{Policy: options.policy}, mix.Customers, change)
	defer s.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if options.during != nil && *fullMeasurement {
		go options.during(ctx, s)
	}
	report, err := load.Run(ctx, &mix, s.targets)
	s.g.Expect(err).NotTo(HaveOccurred())
	s.g.Expect(report.Sent).To(BeNumerically(">", 0))
	s.g.Expect(report.NotWhole).To(BeZero(), strings.Join(report.Faults, "; "))
	if *verbose {
		fmt.Printf("\n## %s, policy %s\n", d.name, policyName(options.policy))
		report.Print(os.Stdout)
	}
	return report
}

// small returns the deployment reduced to one failure domain, for a check without a
// measurement.
func (d deployment) small() deployment {
	d.domains, d.routers, d.models, d.services = d.domains[:1], []int{1}, []int{2}, []int{1}
	return d
}

func policyName(p settings.Policy) string {
	if p == "" {
		return "product"
	}
	return string(p)
}

// eachPolicy calls measure for each policy of the -policies flag; "" is the product's.
func eachPolicy(measure func(settings.Policy)) {
	for policy := range strings.SplitSeq(*policies, ",") {
		if policy == "product" {
			policy = ""
		}
		measure(settings.Policy(policy))
	}
}

func classSeries(r *load.Report, name string) load.SeriesReport { return findSeries(r.Classes, name) }

func findSeries(series []load.SeriesReport, name string) load.SeriesReport {
	for _, s := range series {
		if s.Name == name {
			return s
		}
	}
	return load.SeriesReport{Name: name}
}

// ratio returns a/b, or 0 if b is 0.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

func TestKilindiService(t *testing.T) { measureService(t, kilindi) }

func TestMotaguaService(t *testing.T) {
	skipUnlessMeasuring(t)
	measureService(t, motagua)
}

// skipUnlessMeasuring skips a test that is useful only as a full measurement. Without
// -measure one small run with each kind of process remains.
func skipUnlessMeasuring(t *testing.T) {
	if !*fullMeasurement {
		t.Skip("only with -args -measure")
	}
}

// measureService prints the cache reuse, the load skew and the control traffic.
func measureService(t *testing.T, d deployment) {
	fmt.Println("| deployment | policy | reuse % | highest/mean p50 | p99 | max | samples over bound | control B/s a router, mean | max | first token p95 ms | between p95 ms | refused |")
	eachPolicy(func(policy settings.Policy) {
		report := d.run(t, runOptions{policy: policy, mix: readMix(t, d.name)})
		printService(d, policy, report)
	})
}

func printService(d deployment, policy settings.Policy, r *load.Report) {
	skew := r.Skew
	if skew == nil {
		skew = &load.SkewReport{}
	}
	mean, highest := controlTraffic(r)
	short := classSeries(r, "short")
	fmt.Printf("| %s | %s | %.1f | %.2f | %.2f | %.2f | %d of %d | %.0f | %.0f | %.0f | %.1f | %d |\n",
		d.name, policyName(policy), 100*r.Cache.Reuse, skew.Median, skew.P99, skew.Highest, skew.OverBound, skew.Samples,
		mean, highest, short.First.P95, short.Between.P95, failedRequests(r))
}

// controlTraffic returns the mean and the highest control bytes per second of a router.
func controlTraffic(r *load.Report) (mean, highest float64) {
	for _, router := range r.Routers {
		mean += router.ControlTotal / float64(len(r.Routers))
		highest = max(highest, router.ControlTotal)
	}
	return mean, highest
}

// failedRequests returns the number of requests with any result other than ok.
func failedRequests(r *load.Report) int {
	total := 0
	for _, o := range r.Outcomes {
		if o.Code != api.CodeOK {
			total += o.Count
		}
	}
	return total
}

// Churn: a tenth of the model workers is replaced each minute.
const (
	churnShare  = 0.1
	churnPeriod = time.Minute
)

func TestKilindiChurn(t *testing.T) {
	skipUnlessMeasuring(t)
	measureChurn(t, kilindi)
}

func TestMotaguaChurn(t *testing.T) {
	skipUnlessMeasuring(t)
	measureChurn(t, motagua)
}

// measureChurn prints the cache reuse without and with the replacement of servers.
func measureChurn(t *testing.T, d deployment) {
	fmt.Println("| deployment | policy | reuse % without churn | with churn | ratio | refused |")
	eachPolicy(func(policy settings.Policy) {
		mix := readMix(t, d.name)
		mix.DurationMS = int(churnPeriod.Milliseconds())
		steady := d.run(t, runOptions{policy: policy, mix: mix})
		churn := d.run(t, runOptions{policy: policy, mix: mix, during: replaceServers})
		fmt.Printf("| %s | %s | %.1f | %.1f | %.3f | %d |\n", d.name, policyName(policy), 100*steady.Cache.Reuse, 100*churn.Cache.Reuse,
			ratio(churn.Cache.Reuse, steady.Cache.Reuse), failedRequests(churn))
	})
}

// replaceServers restarts the model workers one after the other at regular intervals,
// each with an empty cache.
func replaceServers(ctx context.Context, s *system) {
	interval := time.Duration(float64(churnPeriod) / (churnShare * float64(len(s.models))))
	pause := interval / 2
	for _, name := range s.models {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		pause = interval
		backend := s.Backends[name]
		if err := backend.Stop(); err != nil {
			fmt.Printf("%s did not stop: %v\n", name, err)
			continue
		}
		_ = backend.Start()
	}
}

func TestKilindiStragglers(t *testing.T) {
	skipUnlessMeasuring(t)
	measureStragglers(t, kilindi)
}

func TestMotaguaStragglers(t *testing.T) {
	skipUnlessMeasuring(t)
	measureStragglers(t, motagua)
}

// serversPerStraggler is the number of model workers of which one runs at a tenth of
// its speed.
const serversPerStraggler = 10

// measureStragglers prints latencies without and with slow model workers.
func measureStragglers(t *testing.T, d deployment) {
	fmt.Println("| deployment | policy | first token p99 ms without | with | ratio | whole p99 ms without | with | ratio | refused |")
	eachPolicy(func(policy settings.Policy) {
		mix := readMix(t, d.name)
		normal := classSeries(d.run(t, runOptions{policy: policy, mix: mix}), "short")
		report := d.run(t, runOptions{policy: policy, mix: mix, change: addStragglers})
		slow := classSeries(report, "short")
		fmt.Printf("| %s | %s | %.0f | %.0f | %.2f | %.0f | %.0f | %.2f | %d |\n", d.name, policyName(policy),
			normal.First.P99, slow.First.P99, ratio(slow.First.P99, normal.First.P99),
			normal.Whole.P99, slow.Whole.P99, ratio(slow.Whole.P99, normal.Whole.P99), failedRequests(report))
	})
}

// addStragglers slows down one in serversPerStraggler model workers.
func addStragglers(spec *testcluster.Spec) {
	models := 0
	for i, backend := range spec.Backends {
		if !isModel(backend) {
			continue
		}
		if models%serversPerStraggler == 0 {
			spec.Backends[i].Flags = append(append([]string{}, backend.Flags...), "-slow-factor", "10")
		}
		models++
	}
}

func TestKilindiShortBehindLong(t *testing.T) {
	skipUnlessMeasuring(t)
	measureShortBehindLong(t, kilindi)
}

func TestMotaguaShortBehindLong(t *testing.T) {
	skipUnlessMeasuring(t)
	measureShortBehindLong(t, motagua)
}

// measureShortBehindLong prints latencies of short requests alone and together with
// long ones.
func measureShortBehindLong(t *testing.T, d deployment) {
	fmt.Println("| deployment | policy | short first token p99 ms alone | beside long | ratio | short whole p99 ms alone | beside long | ratio | refused |")
	eachPolicy(func(policy settings.Policy) {
		alone := classSeries(d.run(t, runOptions{policy: policy, mix: readMix(t, d.name+"-short-only")}), "short")
		report := d.run(t, runOptions{policy: policy, mix: readMix(t, d.name)})
		withLong := classSeries(report, "short")
		fmt.Printf("| %s | %s | %.0f | %.0f | %.2f | %.0f | %.0f | %.2f | %d |\n", d.name, policyName(policy),
			alone.First.P99, withLong.First.P99, ratio(withLong.First.P99, alone.First.P99),
			alone.Whole.P99, withLong.Whole.P99, ratio(withLong.Whole.P99, alone.Whole.P99), failedRequests(report))
	})
}

func TestKilindiCrest(t *testing.T) {
	skipUnlessMeasuring(t)
	measureCrest(t, kilindi)
}

func TestMotaguaCrest(t *testing.T) {
	skipUnlessMeasuring(t)
	measureCrest(t, motagua)
}

// measureCrest prints the outcomes and latencies of admitted and refused requests
// while demand exceeded capacity.
func measureCrest(t *testing.T, d deployment) {
	fmt.Println("| deployment | policy | answered in the crest | late for the deadline | refused not run | other failures | refusal p99 ms | max ms | first token p99 ms | smallest share answered of a customer |")
	eachPolicy(func(policy settings.Policy) {
		report := d.run(t, runOptions{policy: policy, mix: readMix(t, d.name+"-crest")})
		printCrest(d, policy, report)
	})
}

func printCrest(d deployment, policy settings.Policy, r *load.Report) {
	var answered, notRun int64
	late := 0
	var refusal, slowest, first float64
	smallestShare := 1.0
	for _, s := range r.Crest {
		answered += s.Whole.Count
		notRun += s.Refused.Count
		late += s.Late
		refusal, slowest = max(refusal, s.Refused.P99), max(slowest, s.Refused.Max)
		first = max(first, s.First.P99)
		smallestShare = min(smallestShare, ratio(float64(s.Whole.Count), float64(s.Whole.Count+s.Refused.Count)))
	}
	other := 0
	for _, o := range r.Outcomes {
		if o.Code != api.CodeOK && o.Outcome != api.OutcomeNotRun {
			other += o.Count
		}
	}
	fmt.Printf("| %s | %s | %d | %d | %d | %d | %.0f | %.0f | %.0f | %.2f |\n",
		d.name, policyName(policy), answered, late, notRun, other, refusal, slowest, first, smallestShare)
}

// TestKilindiSurge measures each customer's answered share while one customer sends
// twenty times its load.
func TestKilindiSurge(t *testing.T) {
	skipUnlessMeasuring(t)
	fmt.Println("| policy | customer | answered | refused | share answered | first token p99 ms |")
	eachPolicy(func(policy settings.Policy) {
		report := kilindi.run(t, runOptions{policy: policy, mix: readMix(t, "kilindi-surge")})
		for _, s := range report.Crest {
			fmt.Printf("| %s | %s | %d | %d | %.2f | %.0f |\n", policyName(policy), s.Name, s.Whole.Count, s.Refused.Count,
				ratio(float64(s.Whole.Count), float64(s.Whole.Count+s.Refused.Count)), s.First.P99)
		}
	})
}
