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

// Bounds from the users' pages and the aim.
const (
	reuseBound     = 0.9
	longBound      = 1.5
	stragglerBound = 2.0
)

// onceRun runs a description at most once, with the product's policy and the oracle.
type onceRun struct {
	once    sync.Once
	results []experiment.Result
	err     error
}

var runs sync.Map

func load(t *testing.T, name string) *experiment.Description {
	t.Helper()
	d, err := experiment.Load(filepath.Join("testdata", name+".json"))
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return d
}

// result returns the measures of a policy, "product" or "oracle".
func result(t *testing.T, name, policy string) experiment.Result {
	t.Helper()
	g := NewWithT(t)
	value, _ := runs.LoadOrStore(name, &onceRun{})
	run := value.(*onceRun)
	run.once.Do(func() {
		d := load(t, name)
		d.Policies = []settings.Policy{settings.PolicyProduct}
		run.results, run.err = experiment.Run(d)
	})
	g.Expect(run.err).NotTo(HaveOccurred())
	i := slices.IndexFunc(run.results, func(r experiment.Result) bool { return r.Policy == policy })
	g.Expect(i).To(BeNumerically(">=", 0), policy)
	return run.results[i]
}

// expectLoadBound checks that no load is over 1.25 times the mean plus one
// request at any instant with a mean of at least two.
func expectLoadBound(t *testing.T, names ...string) {
	t.Helper()
	g := NewWithT(t)
	for _, name := range names {
		r := result(t, name, "product")
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

// expectPlacements checks that no request brings its server over the bound at
// the instant at which it is placed.
func expectPlacements(t *testing.T, names ...string) {
	t.Helper()
	g := NewWithT(t)
	for _, name := range names {
		r := result(t, name, "product")
		g.Expect(r.PlacedOver).To(BeZero(), "%s: by %.2f at worst", name, r.WorstPlaced)
	}
}

func TestPlacementsKilindi(t *testing.T) { expectPlacements(t, "kilindi-steady", "kilindi-churn") }
func TestPlacementsMotagua(t *testing.T) { expectPlacements(t, "motagua-steady", "motagua-churn") }
func TestPlacementsAim(t *testing.T)     { expectPlacements(t, "aim-churn") }

// TestLoadBelowBaselines compares the time over the bound with the policies
// that do not bound the load of a server by the mean.
func TestLoadBelowBaselines(t *testing.T) {
	g := NewWithT(t)
	for _, name := range []string{"kilindi-churn", "kilindi-hot", "motagua-churn", "motagua-hot"} {
		d := load(t, name)
		d.Policies = []settings.Policy{settings.PolicyRandom, settings.PolicyRendezvous, settings.PolicyTwoChoices}
		d.Oracle = false
		results, err := experiment.Run(d)
		g.Expect(err).NotTo(HaveOccurred())
		product := result(t, name, "product")
		for _, baseline := range results {
			g.Expect(product.TimeOverBound).To(BeNumerically("<", baseline.TimeOverBound), "%s, %s", name, baseline.Policy)
		}
	}
}

func expectReuse(t *testing.T, name string) {
	t.Helper()
	product, oracle := result(t, name, "product"), result(t, name, "oracle")
	NewWithT(t).Expect(product.CacheReuse).To(BeNumerically(">=", reuseBound*oracle.CacheReuse), "%s: oracle %.3f", name, oracle.CacheReuse)
}

func TestCacheReuseKilindi(t *testing.T) { expectReuse(t, "kilindi-churn") }
func TestCacheReuseMotagua(t *testing.T) { expectReuse(t, "motagua-churn") }
func TestCacheReuseAim(t *testing.T)     { expectReuse(t, "aim-churn") }

// expectRatio compares the p99 of whole short answers in two descriptions.
func expectRatio(t *testing.T, name, without string, bound float64) {
	t.Helper()
	with, plain := result(t, name, "product"), result(t, without, "product")
	NewWithT(t).Expect(with.Short.WholeP99MS).To(BeNumerically("<=", bound*plain.Short.WholeP99MS), "%s: %.0f ms without", name, plain.Short.WholeP99MS)
}

func TestShortBesideLong(t *testing.T) {
	expectRatio(t, "kilindi-long", "kilindi-steady", longBound)
	expectRatio(t, "motagua-long", "motagua-steady", longBound)
}

func TestStragglers(t *testing.T) {
	expectRatio(t, "kilindi-stragglers", "kilindi-steady", stragglerBound)
	expectRatio(t, "motagua-stragglers", "motagua-steady", stragglerBound)
}

func TestSameSeedGivesSameResults(t *testing.T) {
	g := NewWithT(t)
	d := load(t, "motagua-churn")
	d.Policies = []settings.Policy{settings.PolicyProduct}
	again, err := experiment.Run(d)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(again[1]).To(Equal(result(t, "motagua-churn", "product")))
}

func TestDescriptions(t *testing.T) {
	g := NewWithT(t)
	files, err := filepath.Glob("testdata/*.json")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(files).NotTo(BeEmpty())
	for _, file := range files {
		d, err := experiment.Load(file)
		g.Expect(err).NotTo(HaveOccurred(), file)
		g.Expect(d.Name + ".json").To(Equal(filepath.Base(file)))
	}
	d := load(t, "motagua-churn")
	d.Servers = 0
	g.Expect(d.Validate()).To(MatchError(ContainSubstring("servers")))
	_, err = experiment.Load("testdata/none.json")
	g.Expect(err).To(HaveOccurred())
}

func TestOutputs(t *testing.T) {
	g := NewWithT(t)
	results := []experiment.Result{result(t, "motagua-churn", "product")}
	text, raw := &strings.Builder{}, &strings.Builder{}
	g.Expect(experiment.WriteText(text, results)).To(Succeed())
	g.Expect(text.String()).To(ContainSubstring("product"))
	g.Expect(experiment.WriteJSON(raw, results)).To(Succeed())
	g.Expect(raw.String()).To(ContainSubstring(`"policy": "product"`))
}
