package experiment_test

import (
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/internal/experiment"
	"peridotwinch.example/peridotwinch/internal/settings"
)

// Bounds from the users' pages and the target: the cache reuse relative to the oracle,
// and the ratios of the p99 latency of short requests with long requests or
// stragglers to that without.
const (
	reuseBound     = 0.9
	longBound      = 1.5
	stragglerBound = 2.0
)

// cachedRun runs a description at most once, with the product's policy and the
// oracle.
type cachedRun struct {
	once    sync.Once
	results []experiment.Result
	err     error
}

var cachedRuns sync.Map

func loadDescription(t *testing.T, name string) *experiment.Description {
	t.Helper()
	d, err := experiment.Load(filepath.Join("testdata", name+".json"))
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return d
}

// policyResult returns the measurements of a policy, "product" or "oracle".
func policyResult(t *testing.T, name, policy string) experiment.Result {
	t.Helper()
	g := NewWithT(t)
	value, _ := cachedRuns.LoadOrStore(name, &cachedRun{})
	run := value.(*cachedRun)
	run.once.Do(func() {
		d := loadDescription(t, name)
		d.Policies = []settings.Policy{settings.PolicyProduct}
		run.results, run.err = experiment.Run(d)
	})
	g.Expect(run.err).NotTo(HaveOccurred())
	i := slices.IndexFunc(run.results, func(r experiment.Result) bool { return r.Policy == policy })
	g.Expect(i).To(BeNumerically(">=", 0), policy)
	return run.results[i]
}

// expectLoadBound checks that no load exceeds 1.25 times the mean plus one request
// at any instant with a mean of at least two.
func expectLoadBound(t *testing.T, names ...string) {
	t.Helper()
	g := NewWithT(t)
	for _, name := range names {
		r := policyResult(t, name, "product")
		g.Expect(r.WorstExcess).To(BeNumerically("<=", 0), "%s: over the bound at %.4f of the instants; %.4f of the placements", name, r.TimeOverBound, r.PlacedOver)
	}
}

func TestLoadBoundKilindi(t *testing.T) {
	expectLoadBound(t, "kilindi-steady", "kilindi-hot", "kilindi-skewed", "kilindi-churn")
}

func TestLoadBoundMotagua(t *testing.T) {
	expectLoadBound(t, "motagua-steady", "motagua-hot", "motagua-skewed", "motagua-churn")
}

func TestLoadBoundAim(t *testing.T) { expectLoadBound(t, "aim-churn") }

// expectPlacements checks that no request brings its server over the bound when it
// is placed.
func expectPlacements(t *testing.T, names ...string) {
	t.Helper()
	g := NewWithT(t)
	for _, name := range names {
		r := policyResult(t, name, "product")
		g.Expect(r.PlacedOver).To(BeZero(), "%s: by %.2f at worst", name, r.WorstPlaced)
	}
}

func TestPlacementsKilindi(t *testing.T) { expectPlacements(t, "kilindi-steady", "kilindi-churn") }
func TestPlacementsMotagua(t *testing.T) { expectPlacements(t, "motagua-steady", "motagua-churn") }
func TestPlacementsAim(t *testing.T)     { expectPlacements(t, "aim-churn") }

// placementSeeds is the number of seeds of the tests below.
const placementSeeds = 8

// runWithSeed runs a description with a seed and only the product's policy.
func runWithSeed(t *testing.T, name string, seed uint64) experiment.Result {
	t.Helper()
	d := loadDescription(t, name)
	d.Seed, d.Oracle = seed, false
	d.Policies = []settings.Policy{settings.PolicyProduct}
	results, err := experiment.Run(d)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return results[0]
}

// TestPlacementsSeeds checks with several seeds that no request brings its server
// over the bound or is sent to a server over it. So a server over the bound was
// within it at its last placement, and gets no new requests until it is within it
// again.
func TestPlacementsSeeds(t *testing.T) {
	names := []string{"kilindi-steady", "kilindi-hot", "kilindi-skewed", "motagua-steady", "motagua-hot", "motagua-skewed"}
	for _, name := range names {
		for seed := uint64(1); seed <= placementSeeds; seed++ {
			r := runWithSeed(t, name, seed)
			NewWithT(t).Expect(r.PlacedOver).To(BeZero(), "%s, seed %d: by %.2f at worst", name, seed, r.WorstPlaced)
		}
	}
}

// TestPlacementsWhileRoutersAgree checks the placements under churn at all times at
// which every router has the current servers in its table. While the tables differ,
// a router may not yet have removed a replaced server and its share of the load.
func TestPlacementsWhileRoutersAgree(t *testing.T) {
	for _, name := range []string{"kilindi-churn", "motagua-churn"} {
		for seed := uint64(1); seed <= placementSeeds; seed++ {
			r := runWithSeed(t, name, seed)
			NewWithT(t).Expect(r.PlacedOverAgreed).To(BeZero(), "%s, seed %d", name, seed)
		}
	}
}

// TestReuseSeeds checks the bound on cache reuse with several seeds.
func TestReuseSeeds(t *testing.T) {
	for _, name := range []string{"kilindi-churn", "motagua-churn"} {
		for seed := uint64(1); seed <= placementSeeds; seed++ {
			d := loadDescription(t, name)
			d.Seed = seed
			d.Policies = []settings.Policy{settings.PolicyProduct}
			results, err := experiment.Run(d)
			NewWithT(t).Expect(err).NotTo(HaveOccurred())
			oracle, product := results[0], results[1]
			NewWithT(t).Expect(product.CacheReuse).To(BeNumerically(">=", reuseBound*oracle.CacheReuse), "%s, seed %d: oracle %.3f", name, seed, oracle.CacheReuse)
		}
	}
}

// TestTimeOverBoundIsBelowBaselines compares the time over the bound with that of
// policies without a load bound.
func TestTimeOverBoundIsBelowBaselines(t *testing.T) {
	g := NewWithT(t)
	for _, name := range []string{"kilindi-churn", "kilindi-hot", "motagua-churn", "motagua-hot"} {
		d := loadDescription(t, name)
		d.Policies = []settings.Policy{settings.PolicyRandom, settings.PolicyRendezvous, settings.PolicyTwoChoices}
		d.Oracle = false
		results, err := experiment.Run(d)
		g.Expect(err).NotTo(HaveOccurred())
		product := policyResult(t, name, "product")
		for _, baseline := range results {
			g.Expect(product.TimeOverBound).To(BeNumerically("<", baseline.TimeOverBound), "%s, %s", name, baseline.Policy)
		}
	}
}

// expectReuse checks the cache reuse relative to the oracle.
func expectReuse(t *testing.T, name string) {
	t.Helper()
	product, oracle := policyResult(t, name, "product"), policyResult(t, name, "oracle")
	NewWithT(t).Expect(product.CacheReuse).To(BeNumerically(">=", reuseBound*oracle.CacheReuse), "%s: oracle %.3f", name, oracle.CacheReuse)
}

func TestCacheReuseKilindi(t *testing.T) { expectReuse(t, "kilindi-churn") }
func TestCacheReuseMotagua(t *testing.T) { expectReuse(t, "motagua-churn") }
func TestCacheReuseAim(t *testing.T)     { expectReuse(t, "aim-churn") }

// expectShortP99Ratio checks the ratio of the p99 latencies of short requests, up
// to the end of the answer, in two descriptions.
func expectShortP99Ratio(t *testing.T, name, without string, bound float64) {
	t.Helper()
	with, plain := policyResult(t, name, "product"), policyResult(t, without, "product")
	NewWithT(t).Expect(with.Short.WholeP99MS).To(BeNumerically("<=", bound*plain.Short.WholeP99MS), "%s: %.0f ms without", name, plain.Short.WholeP99MS)
}

func TestShortBesideLong(t *testing.T) {
	expectShortP99Ratio(t, "kilindi-long", "kilindi-steady", longBound)
	expectShortP99Ratio(t, "motagua-long", "motagua-steady", longBound)
}

func TestStragglers(t *testing.T) {
	expectShortP99Ratio(t, "kilindi-stragglers", "kilindi-steady", stragglerBound)
	expectShortP99Ratio(t, "motagua-stragglers", "motagua-steady", stragglerBound)
}

func TestSameSeedGivesSameResults(t *testing.T) {
	g := NewWithT(t)
	d := loadDescription(t, "motagua-churn")
	d.Policies = []settings.Policy{settings.PolicyProduct}
	again, err := experiment.Run(d)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(again[1]).To(Equal(policyResult(t, "motagua-churn", "product")))
}

func TestDescriptionsAreValidAndInvalidFieldIsNamed(t *testing.T) {
	g := NewWithT(t)
	files, err := filepath.Glob("testdata/*.json")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(files).NotTo(BeEmpty())
	for _, file := range files {
		d, err := experiment.Load(file)
		g.Expect(err).NotTo(HaveOccurred(), file)
		g.Expect(d.Name + ".json").To(Equal(filepath.Base(file)))
	}
	d := loadDescription(t, "motagua-churn")
	d.Servers = 0
	g.Expect(d.Validate()).To(MatchError(ContainSubstring("servers")))
	_, err = experiment.Load("testdata/none.json")
	g.Expect(err).To(HaveOccurred())
}

func TestResultsAreWrittenAsTextAndJSON(t *testing.T) {
	g := NewWithT(t)
	results := []experiment.Result{policyResult(t, "motagua-churn", "product")}
	text, raw := &strings.Builder{}, &strings.Builder{}
	g.Expect(experiment.WriteText(text, results)).To(Succeed())
	g.Expect(text.String()).To(ContainSubstring("product"))
	g.Expect(experiment.WriteJSON(raw, results)).To(Succeed())
	g.Expect(raw.String()).To(ContainSubstring(`"policy": "product"`))
}
