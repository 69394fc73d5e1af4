package catalog

import (
	"fmt"
	"runtime"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"peridotwinch.example/peridotwinch/api"
)

// targetCustomers is the number of customers in the target deployment.
const targetCustomers = 4700

func newCustomer(i int, version uint64) *api.Resource {
	spec := fmt.Sprintf(`{"tokenDigests":["%064x"],"weight":%d}`, i, version)
	return &api.Resource{
		Kind: api.KindCustomers, UID: fmt.Sprint("uid-", i), ResourceVersion: version, Spec: []byte(spec),
		Names: api.Names{"customer": fmt.Sprint("customer-", i), "model": fmt.Sprint("buyer-", i)},
	}
}

func newPool(uid int, engine, model string) *api.Resource {
	return &api.Resource{
		Kind: api.KindPools, UID: fmt.Sprint("uid-", uid), Spec: []byte(`{"protocol":"chat"}`),
		Names: api.Names{"engine": engine, "model": model},
	}
}

// TestIncrementalCatalogEqualsRebuiltCatalog guards against indexes that diverge
// from the resources after single changes, and against changes that reach earlier
// catalogs through shared shards. It compares a catalog after each change with
// its earlier answers, and at the end with one that is built at once.
func TestIncrementalCatalogEqualsRebuiltCatalog(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		name := rapid.SampledFrom([]string{"a", "b", "c"})
		incremental, resources := Empty(), map[string]*api.Resource{}
		for revision := range uint64(rapid.IntRange(1, 30).Draw(t, "changes")) {
			change := newPool(rapid.IntRange(0, 4).Draw(t, "uid"), name.Draw(t, "engine"), name.Draw(t, "model"))
			change.ResourceVersion = revision + 1
			change.Deleted = rapid.IntRange(0, 3).Draw(t, "delete") == 0
			// Control replicas reject a name that another resource has in the same scheme.
			if isNameTaken(resources, change) {
				continue
			}
			before := fmt.Sprint(resolvePools(incremental))
			next := incremental.Apply(revision+1, false, []*api.Resource{change})
			if after := fmt.Sprint(resolvePools(incremental)); after != before {
				t.Fatalf("a change altered an earlier catalog from %s to %s", before, after)
			}
			incremental = next
			resources[change.UID] = change
			if change.Deleted {
				delete(resources, change.UID)
			}
		}
		rebuilt := New(incremental.Revision(), resources)
		if a, b := fmt.Sprint(resolvePools(incremental)), fmt.Sprint(resolvePools(rebuilt)); a != b {
			t.Fatalf("incremental catalog resolves to %s, rebuilt catalog to %s", a, b)
		}
	})
}

// isNameTaken reports whether another resource has a name of change in the same
// scheme.
func isNameTaken(resources map[string]*api.Resource, change *api.Resource) bool {
	for uid, other := range resources {
		for scheme, name := range change.Names {
			if uid != change.UID && other.Names[scheme] == name {
				return true
			}
		}
	}
	return false
}

// resolvePools returns the UID of the pool that each reference resolves to.
func resolvePools(c *Catalog) []string {
	var uids []string
	for _, name := range []string{"a", "b", "c"} {
		for _, ref := range []string{name, "engine:" + name, "model:" + name} {
			found, _ := c.Pool(api.Ref(ref))
			uids = append(uids, found.UID)
		}
	}
	return uids
}

// TestChangedTokenReplacesOldToken guards against a token index that still accepts
// the old token of a customer after a change.
func TestChangedTokenReplacesOldToken(t *testing.T) {
	g := NewWithT(t)
	c := Empty().Apply(1, true, []*api.Resource{newCustomer(1, 1), newCustomer(2, 1)})
	changed := newCustomer(1, 2)
	changed.Spec = newCustomer(3, 1).Spec
	c = c.Apply(2, false, []*api.Resource{changed})
	g.Expect(c.tokens.count).To(Equal(2))
	g.Expect(c.tokens.get(tokenDigest{31: 3}).UID).To(Equal("uid-1"))
	g.Expect(c.tokens.get(tokenDigest{31: 1})).To(BeNil())
	g.Expect(c.Len()).To(Equal(2))
}

// BenchmarkChangeAtTargetSize changes one customer in a catalog of targetCustomers.
func BenchmarkChangeAtTargetSize(b *testing.B) {
	var customers []*api.Resource
	for i := range targetCustomers {
		customers = append(customers, newCustomer(i, 1))
	}
	c := Empty().Apply(1, true, customers)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		c = c.Apply(c.Revision()+1, false, []*api.Resource{newCustomer(i%targetCustomers, c.Revision()+1)})
	}
}

// BenchmarkSnapshotAtTargetSize builds a catalog of targetCustomers and reports the
// memory that it keeps per customer, in bytes.
func BenchmarkSnapshotAtTargetSize(b *testing.B) {
	var kept *Catalog
	before := liveHeapBytes()
	for b.Loop() {
		var customers []*api.Resource
		for i := range targetCustomers {
			customers = append(customers, newCustomer(i, 1))
		}
		kept = Empty().Apply(1, true, customers)
	}
	b.ReportMetric(float64(liveHeapBytes()-before)/float64(kept.Len()), "kept-B/customer")
}

func liveHeapBytes() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// TestPoolInheritsLoadBoundOfFleet guards against a pool that ignores the load bound
// of its fleet, also after a change of the fleet alone.
func TestPoolInheritsLoadBoundOfFleet(t *testing.T) {
	g := NewWithT(t)
	fleet := &api.Resource{Kind: api.KindFleets, UID: "f", Names: api.Names{"engine": "coast"}, Spec: []byte(`{"loadBound":1.5}`)}
	own, inherited := newPool(1, "own", "x"), newPool(2, "inherited", "y")
	own.Spec = []byte(`{"protocol":"chat","fleet":"coast","loadBound":2}`)
	inherited.Spec = []byte(`{"protocol":"chat","fleet":"engine:coast"}`)
	c := Empty().Apply(1, false, []*api.Resource{fleet, own, inherited, newPool(3, "none", "z")})
	for ref, want := range map[api.Ref]float64{"own": 2, "inherited": 1.5, "none": 0} {
		found, ok := c.Pool(ref)
		g.Expect(ok).To(BeTrue())
		g.Expect(found.LoadBound()).To(Equal(want), string(ref))
	}
	c = c.Apply(2, false, []*api.Resource{{Kind: api.KindFleets, UID: "f", Names: fleet.Names, Spec: []byte(`{"loadBound":1.75}`)}})
	found, _ := c.Pool("inherited")
	g.Expect(found.LoadBound()).To(Equal(1.75))
}
