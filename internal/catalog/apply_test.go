package catalog

import (
	"fmt"
	"runtime"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"peridotwinch.example/peridotwinch/api"
)

// targetCustomers is the number of customers in the users' target.
const targetCustomers = 4700

func customer(i int, version uint64) *api.Resource {
	spec := fmt.Sprintf(`{"tokenDigests":["%064x"],"weight":%d}`, i, version)
	return &api.Resource{
		Kind: api.KindCustomers, UID: fmt.Sprint("uid-", i), ResourceVersion: version, Spec: []byte(spec),
		Names: api.Names{"customer": fmt.Sprint("customer-", i), "model": fmt.Sprint("buyer-", i)},
	}
}

func pool(uid int, engine, model string) *api.Resource {
	return &api.Resource{
		Kind: api.KindPools, UID: fmt.Sprint("uid-", uid), Spec: []byte(`{"protocol":"chat"}`),
		Names: api.Names{"engine": engine, "model": model},
	}
}

// TestStepsEqualARebuild compares a catalog that came about by single changes
// with one that is built at once, and looks that earlier ones stay as they were.
func TestStepsEqualARebuild(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		name := rapid.SampledFrom([]string{"a", "b", "c"})
		stepped, whole := Empty(), map[string]*api.Resource{}
		for revision := range uint64(rapid.IntRange(1, 30).Draw(t, "changes")) {
			change := pool(rapid.IntRange(0, 4).Draw(t, "uid"), name.Draw(t, "engine"), name.Draw(t, "model"))
			change.ResourceVersion = revision + 1
			change.Deleted = rapid.IntRange(0, 3).Draw(t, "delete") == 0
			// The store refuses a name that another resource has in the scheme.
			if taken(whole, change) {
				continue
			}
			before := fmt.Sprint(answers(stepped))
			next := stepped.Apply(revision+1, false, []*api.Resource{change})
			if after := fmt.Sprint(answers(stepped)); after != before {
				t.Fatalf("an earlier catalog changed from %s to %s", before, after)
			}
			stepped = next
			whole[change.UID] = change
			if change.Deleted {
				delete(whole, change.UID)
			}
		}
		rebuilt := New(stepped.Revision(), whole)
		if a, b := fmt.Sprint(answers(stepped)), fmt.Sprint(answers(rebuilt)); a != b {
			t.Fatalf("%s in steps and %s at once", a, b)
		}
	})
}

func taken(all map[string]*api.Resource, change *api.Resource) bool {
	for uid, other := range all {
		for scheme, name := range change.Names {
			if uid != change.UID && other.Names[scheme] == name {
				return true
			}
		}
	}
	return false
}

// answers returns the pool that each reference leads to.
func answers(c *Catalog) []string {
	var out []string
	for _, name := range []string{"a", "b", "c"} {
		for _, ref := range []string{name, "engine:" + name, "model:" + name} {
			found, _ := c.Pool(api.Ref(ref))
			out = append(out, found.UID)
		}
	}
	return out
}

func TestTokensFollowTheCustomer(t *testing.T) {
	g := NewWithT(t)
	c := Empty().Apply(1, true, []*api.Resource{customer(1, 1), customer(2, 1)})
	moved := customer(1, 2)
	moved.Spec = customer(3, 1).Spec
	c = c.Apply(2, false, []*api.Resource{moved})
	g.Expect(c.tokens.count).To(Equal(2))
	g.Expect(c.tokens.get(tokenDigest{31: 3}).UID).To(Equal("uid-1"))
	g.Expect(c.tokens.get(tokenDigest{31: 1})).To(BeNil())
	g.Expect(c.Len()).To(Equal(2))
}

// BenchmarkChangeAtTargetSize changes one of all customers of the target.
func BenchmarkChangeAtTargetSize(b *testing.B) {
	var all []*api.Resource
	for i := range targetCustomers {
		all = append(all, customer(i, 1))
	}
	c := Empty().Apply(1, true, all)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		c = c.Apply(c.Revision()+1, false, []*api.Resource{customer(i%targetCustomers, c.Revision()+1)})
	}
}

// BenchmarkSnapshotAtTargetSize builds the whole catalog and reports what is kept
// of a customer.
func BenchmarkSnapshotAtTargetSize(b *testing.B) {
	var kept *Catalog
	before := liveBytes()
	for b.Loop() {
		var all []*api.Resource
		for i := range targetCustomers {
			all = append(all, customer(i, 1))
		}
		kept = Empty().Apply(1, true, all)
	}
	b.ReportMetric(float64(liveBytes()-before)/float64(kept.Len()), "kept-B/customer")
}

func liveBytes() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

func TestPoolTakesTheLoadBoundOfItsFleet(t *testing.T) {
	g := NewWithT(t)
	fleet := &api.Resource{Kind: api.KindFleets, UID: "f", Names: api.Names{"engine": "coast"}, Spec: []byte(`{"loadBound":1.5}`)}
	own, inherited := pool(1, "own", "x"), pool(2, "inherited", "y")
	own.Spec = []byte(`{"protocol":"chat","fleet":"coast","loadBound":2}`)
	inherited.Spec = []byte(`{"protocol":"chat","fleet":"engine:coast"}`)
	c := Empty().Apply(1, false, []*api.Resource{fleet, own, inherited, pool(3, "none", "z")})
	for ref, want := range map[api.Ref]float64{"own": 2, "inherited": 1.5, "none": 0} {
		found, ok := c.Pool(ref)
		g.Expect(ok).To(BeTrue())
		g.Expect(found.LoadBound()).To(Equal(want), string(ref))
	}
	c = c.Apply(2, false, []*api.Resource{{Kind: api.KindFleets, UID: "f", Names: fleet.Names, Spec: []byte(`{"loadBound":1.75}`)}})
	found, _ := c.Pool("inherited")
	g.Expect(found.LoadBound()).To(Equal(1.75))
}
