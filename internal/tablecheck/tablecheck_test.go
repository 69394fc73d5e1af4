package tablecheck_test

import (
	"encoding/json"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/internal/routetable"
	"peridotwinch.example/peridotwinch/internal/tablecheck"
)

const secondKey = "second-key-0123456789"

// table returns a route table without findings after modify has been applied to it.
func table(modify func(*routetable.Table)) *routetable.Table {
	t := &routetable.Table{
		Generation: 7,
		Routes: []routetable.Route{
			{Name: "r", Host: "a.example", Prefix: "/", Kind: routetable.KindSafe, Timeout: time.Second, LatencyObjective: time.Second,
				PauseObjective: time.Second, MaxServers: 2, Targets: []routetable.Target{{Pool: "p", Weight: 1}}},
		},
		Pools:     []routetable.Pool{{Name: "p", WarmupPerSecond: 1, WarmupTime: time.Second}},
		Customers: []routetable.Customer{{Name: "c", Keys: []string{"short", secondKey}}},
		Limits:    routetable.Limits{MaxBodyBytes: 1},
	}
	modify(t)
	return t
}

func check(t *routetable.Table) *tablecheck.Report { return tablecheck.Check(t, t.ValidateAll()) }

// TestWarnings guards against a warning that is missing, names another field, or comes with others;
// each case changes a table that has no findings.
func TestWarnings(t *testing.T) {
	for name, c := range map[string]struct {
		modify func(*routetable.Table)
		fields []string
	}{
		"none":      {func(*routetable.Table) {}, nil},
		"no host":   {func(t *routetable.Table) { t.Routes[0].Host = "" }, []string{"routes[0].host"}},
		"wild card": {func(t *routetable.Table) { t.Routes[0].Host = "*.example" }, []string{"routes[0].host"}},
		"query":     {func(t *routetable.Table) { t.Routes[0].Prefix = "/a?b/" }, []string{"routes[0].prefix"}},
		"weight 0": {func(t *routetable.Table) {
			t.Routes[0].Targets = append(t.Routes[0].Targets, routetable.Target{Pool: "p"})
		}, []string{"routes[0].targets[1].weight"}},
		"objective above the timeout":    {func(t *routetable.Table) { t.Routes[0].LatencyObjective++ }, []string{"routes[0].latencyObjective"}},
		"pause above the timeout":        {func(t *routetable.Table) { t.Routes[0].PauseObjective++ }, []string{"routes[0].pauseObjective"}},
		"attempts on an unsafe route":    {func(t *routetable.Table) { t.Routes[0].Kind = routetable.KindUnsafe }, []string{"routes[0].maxServers"}},
		"attempts on a stream":           {func(t *routetable.Table) { t.Routes[0].Kind = routetable.KindStream }, []string{"routes[0].maxServers"}},
		"attempts on a resumable stream": {func(t *routetable.Table) { t.Routes[0].Kind, t.Routes[0].Resumable = routetable.KindStream, true }, nil},
		"unused pool":                    {func(t *routetable.Table) { t.Pools = append(t.Pools, routetable.Pool{Name: "q"}) }, []string{"pools[1].name"}},
		"rate without a time":            {func(t *routetable.Table) { t.Pools[0].WarmupTime = 0 }, []string{"pools[0].warmupTime"}},
		"time without a rate":            {func(t *routetable.Table) { t.Pools[0].WarmupPerSecond = 0 }, []string{"pools[0].warmupPerSecond"}},
		"no key and no public route":     {func(t *routetable.Table) { t.Customers[0].Keys = nil }, []string{"customers[0].keys"}},
		"no key, public route":           {func(t *routetable.Table) { t.Customers[0].Keys, t.Routes[0].Public = nil, true }, nil},
		"keys that no route looks up":    {func(t *routetable.Table) { t.Routes[0].Public = true }, []string{"customers[0].keys"}},
		"empty key":                      {func(t *routetable.Table) { t.Customers[0].Keys[0] = "" }, []string{"customers[0].keys[0]"}},
		"key that occurs twice":          {func(t *routetable.Table) { t.Customers[0].Keys[0] = secondKey }, []string{"customers[0].keys[1]"}},
		"body limit of 0":                {func(t *routetable.Table) { t.Limits.MaxBodyBytes = 0 }, []string{"limits.maxBodyBytes"}},
		"body limit below 0":             {func(t *routetable.Table) { t.Limits.MaxBodyBytes = -1 }, []string{"limits.maxBodyBytes"}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			report := check(table(c.modify))
			var fields []string
			for _, finding := range report.Warnings {
				fields = append(fields, finding.Field)
			}
			g.Expect(fields).To(Equal(c.fields))
			g.Expect(report.Errors).To(BeEmpty())
			g.Expect(report.Status() == tablecheck.StatusWarnings).To(Equal(len(c.fields) > 0))
			g.Expect(report.Text("t")).NotTo(ContainSubstring(secondKey))
		})
	}
}

// TestDifferences guards against a change that is not listed, and against keys in the output.
func TestDifferences(t *testing.T) {
	g := NewWithT(t)
	before := table(func(t *routetable.Table) { t.Pools = append(t.Pools, routetable.Pool{Name: "old"}) })
	const newKey = "third-key-0123456789"
	after := table(func(t *routetable.Table) {
		t.Generation = 8
		t.Routes[0].Timeout = 2 * time.Second
		// Routes of equal names are told apart by their order.
		t.Routes = append(t.Routes, routetable.Route{Name: "r", Host: "b.example", Prefix: "/", Kind: routetable.KindSafe,
			Timeout: time.Second, Targets: []routetable.Target{{Pool: "p", Weight: 1}}})
		t.Customers[0].Keys = []string{"other", newKey}
		t.Limits.MaxBodyBytes = 2
	})
	report := check(after)
	report.Compare(after, tablecheck.Base{Name: "base", Table: before})
	g.Expect(report.Status()).To(Equal(tablecheck.StatusOK))
	text := report.Text("t")
	g.Expect(text).To(Equal(`base: version 7 -> 8
changed: route "r": limit: 1s -> 2s
added: route "r"
removed: pool "old"
changed: customer "c": keys: removed *** (5 bytes)
changed: customer "c": keys: removed "seco"*** (21 bytes)
changed: customer "c": keys: added *** (5 bytes)
changed: customer "c": keys: added "thir"*** (20 bytes)
changed: table: limits.maxBodyBytes: 1 -> 2
t: ok
`))
	raw, err := json.Marshal(report)
	g.Expect(err).NotTo(HaveOccurred())
	for _, key := range []string{"short", secondKey, "other", newKey} {
		g.Expect(text + string(raw)).NotTo(ContainSubstring(key))
	}
}

// TestVersionThatIsNotHigher guards against a table that control accepts without an effect, and
// against an error for a repeated one or for the first one.
func TestVersionThatIsNotHigher(t *testing.T) {
	g := NewWithT(t)
	status := func(generation uint64, base *routetable.Table, sameSource bool) int {
		next := table(func(t *routetable.Table) { t.Generation = generation })
		report := check(next)
		report.Compare(next, tablecheck.Base{Table: base, SameSource: sameSource})
		return report.Status()
	}
	base := table(func(*routetable.Table) {})
	g.Expect(status(8, base, false)).To(Equal(tablecheck.StatusOK))
	g.Expect(status(7, base, false)).To(Equal(tablecheck.StatusErrors))
	g.Expect(status(6, base, false)).To(Equal(tablecheck.StatusErrors))
	g.Expect(status(7, base, true)).To(Equal(tablecheck.StatusOK))
	g.Expect(status(7, nil, false)).To(Equal(tablecheck.StatusOK))
}
