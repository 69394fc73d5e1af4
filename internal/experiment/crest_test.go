package experiment_test

import (
	"sync"
	"testing"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/internal/experiment"
	"peridotwinch.example/peridotwinch/internal/settings"
)

// crestSeeds is how many seeds each crest of the users' sizes is run with.
const crestSeeds = 8

// crestRun is a run of a crest with the product's policy.
type crestRun struct {
	experiment.Result
	name string
	seed uint64
}

// crests runs the crests once: those of the users' sizes with each seed, that
// of the aim's size with its own.
var crests = sync.OnceValues(func() ([]crestRun, error) {
	out, err := runSeeds("kilindi-crest", "motagua-crest")
	if err != nil {
		return nil, err
	}
	aim, err := runCrest("aim-crest", 1)
	return append(out, aim), err
})

// crestsOfAll runs the crests that all customers bring, whose answers are short
// and have to begin soon.
var crestsOfAll = sync.OnceValues(func() ([]crestRun, error) {
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

func eachCrest(t *testing.T, check func(g *WithT, r crestRun)) {
	t.Helper()
	each(t, crests, check)
}

func each(t *testing.T, run func() ([]crestRun, error), check func(g *WithT, r crestRun)) {
	t.Helper()
	g := NewWithT(t)
	all, err := run()
	g.Expect(err).NotTo(HaveOccurred())
	for _, r := range all {
		check(g, r)
	}
}

// TestCrestDeadlines checks that every admitted request meets its deadline at
// the users' sizes.
func TestCrestDeadlines(t *testing.T) {
	eachCrest(t, func(g *WithT, r crestRun) {
		g.Expect(r.Refused).To(BeNumerically(">", 0), "%s, seed %d", r.name, r.seed)
		if r.name != "aim-crest" {
			g.Expect(r.MissedDeadlines).To(BeZero(), "%s, seed %d", r.name, r.seed)
		}
	})
}

// TestCrestDeadlinesAim checks the same at the aim's size.
func TestCrestDeadlinesAim(t *testing.T) {
	eachCrest(t, func(g *WithT, r crestRun) {
		if r.name == "aim-crest" {
			g.Expect(r.MissedDeadlines).To(BeZero(), "of %d admitted requests", r.Arrived-r.Refused)
		}
	})
}

// TestCrestEarlyRefusals checks that refusals come within 100 ms.
func TestCrestEarlyRefusals(t *testing.T) {
	eachCrest(t, func(g *WithT, r crestRun) {
		g.Expect(r.LateRefusals).To(BeZero(), "%s, seed %d: of %d refusals", r.name, r.seed, r.Refused)
	})
}

// TestCrestShares checks that surging customers take nothing from the others.
func TestCrestShares(t *testing.T) {
	eachCrest(t, func(g *WithT, r crestRun) {
		g.Expect(r.CalmRefused).To(BeZero(), "%s, seed %d: of %d requests", r.name, r.seed, r.CalmArrived)
	})
}

// TestCrestOfAllDeadlines checks the deadlines where every customer asks for
// more than its share.
func TestCrestOfAllDeadlines(t *testing.T) {
	each(t, crestsOfAll, func(g *WithT, r crestRun) {
		g.Expect(r.MissedDeadlines).To(BeZero(), "%s, seed %d: of %d admitted requests", r.name, r.seed, r.Arrived-r.Refused)
	})
}

// TestCrestOfAllEarlyRefusals checks the refusals there.
func TestCrestOfAllEarlyRefusals(t *testing.T) {
	each(t, crestsOfAll, func(g *WithT, r crestRun) {
		g.Expect(r.LateRefusals).To(BeZero(), "%s, seed %d: of %d refusals", r.name, r.seed, r.Refused)
	})
}
