package experiment_test

import (
	"sync"
	"testing"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/internal/experiment"
	"peridotwinch.example/peridotwinch/internal/settings"
)

// crestSeeds is the number of seeds for each crest at the users' sizes.
const crestSeeds = 8

// crestRun is the result of a crest with the product's policy.
type crestRun struct {
	experiment.Result
	name string
	seed uint64
}

// crestRuns runs the crests once: those at the users' sizes with each seed, the one
// at the target size with seed 1.
var crestRuns = sync.OnceValues(func() ([]crestRun, error) {
	out, err := runSeeds("kilindi-crest", "motagua-crest")
	if err != nil {
		return nil, err
	}
	target, err := runCrest("aim-crest", 1)
	return append(out, target), err
})

// allCustomerCrestRuns runs the crests in which all customers surge. Their answers
// are short and have a tight deadline.
var allCustomerCrestRuns = sync.OnceValues(func() ([]crestRun, error) {
	return runSeeds("kilindi-crest-all", "motagua-crest-all")
})

func runSeeds(names ...string) ([]crestRun, error) {
	var out []crestRun
	for _, name := range names {
		for seed := range uint64(crestSeeds) {
			run, err := runCrest(name, seed+1)
			if err != nil {
				return nil, err
			}
			out = append(out, run)
		}
	}
	return out, nil
}

func runCrest(name string, seed uint64) (crestRun, error) {
	d, err := experiment.Load("testdata/" + name + ".json")
	if err != nil {
		return crestRun{}, err
	}
	d.Seed = seed
	d.Policies = []settings.Policy{settings.PolicyProduct}
	results, err := experiment.Run(d)
	if err != nil {
		return crestRun{}, err
	}
	return crestRun{Result: results[0], name: name, seed: seed}, nil
}

func forEachCrest(t *testing.T, check func(g *WithT, r crestRun)) {
	t.Helper()
	forEachRun(t, crestRuns, check)
}

func forEachRun(t *testing.T, run func() ([]crestRun, error), check func(g *WithT, r crestRun)) {
	t.Helper()
	g := NewWithT(t)
	runs, err := run()
	g.Expect(err).NotTo(HaveOccurred())
	for _, r := range runs {
		check(g, r)
	}
}

// TestCrestDeadlines checks that every admitted request meets its deadline at the
// users' sizes. Refusals must occur, or the crest is no overload.
func TestCrestDeadlines(t *testing.T) {
	forEachCrest(t, func(g *WithT, r crestRun) {
		g.Expect(r.Refused).To(BeNumerically(">", 0), "%s, seed %d", r.name, r.seed)
		if r.name != "aim-crest" {
			g.Expect(r.MissedDeadlines).To(BeZero(), "%s, seed %d", r.name, r.seed)
		}
	})
}

// TestCrestDeadlinesAim checks that every admitted request meets its deadline at
// the target size.
func TestCrestDeadlinesAim(t *testing.T) {
	forEachCrest(t, func(g *WithT, r crestRun) {
		if r.name == "aim-crest" {
			g.Expect(r.MissedDeadlines).To(BeZero(), "of %d admitted requests", r.Arrived-r.Refused)
		}
	})
}

// TestCrestEarlyRefusals checks that the routers refuse requests within 100 ms,
// instead of after a long time in the queue.
func TestCrestEarlyRefusals(t *testing.T) {
	forEachCrest(t, func(g *WithT, r crestRun) {
		g.Expect(r.LateRefusals).To(BeZero(), "%s, seed %d: of %d refusals", r.name, r.seed, r.Refused)
	})
}

// TestCrestShares checks that no request of a calm customer is refused because
// others surge.
func TestCrestShares(t *testing.T) {
	forEachCrest(t, func(g *WithT, r crestRun) {
		g.Expect(r.CalmRefused).To(BeZero(), "%s, seed %d: of %d requests", r.name, r.seed, r.CalmArrived)
	})
}

// TestCrestOfAllDeadlines checks that every admitted request meets its deadline if
// every customer exceeds its share.
func TestCrestOfAllDeadlines(t *testing.T) {
	forEachRun(t, allCustomerCrestRuns, func(g *WithT, r crestRun) {
		g.Expect(r.MissedDeadlines).To(BeZero(), "%s, seed %d: of %d admitted requests", r.name, r.seed, r.Arrived-r.Refused)
	})
}

// TestCrestOfAllEarlyRefusals checks that refusals come within 100 ms if every
// customer exceeds its share.
func TestCrestOfAllEarlyRefusals(t *testing.T) {
	forEachRun(t, allCustomerCrestRuns, func(g *WithT, r crestRun) {
		g.Expect(r.LateRefusals).To(BeZero(), "%s, seed %d: of %d refusals", r.name, r.seed, r.Refused)
	})
}
