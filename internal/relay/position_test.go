package relay_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"peridotwinch.example/peridotwinch/internal/ratelimit"
	"peridotwinch.example/peridotwinch/internal/relay"
)

// numberedTree is a tree of routers below control replicas, by their names.
type numberedTree struct {
	// sources holds the source of each router.
	sources  map[string]string
	replicas []string
}

func drawTree(t *rapid.T) *numberedTree {
	tree := &numberedTree{sources: make(map[string]string)}
	for i := range rapid.IntRange(1, 5).Draw(t, "replicas") {
		tree.replicas = append(tree.replicas, fmt.Sprintf("control-%d", i))
	}
	names := slices.Clone(tree.replicas)
	for i := range rapid.IntRange(0, 60).Draw(t, "routers") {
		// The order of the names is not that of the tree.
		name := fmt.Sprintf("router-%02d", i*37%61)
		tree.sources[name] = rapid.SampledFrom(names).Draw(t, "source")
		names = append(names, name)
	}
	return tree
}

func (n *numberedTree) size(name string) int {
	size := 0
	if _, isRouter := n.sources[name]; isRouter {
		size = 1
	}
	for router, source := range n.sources {
		if source == name {
			size += n.size(router)
		}
	}
	return size
}

// reports returns the reports of the routers that follow a source, each changed by mutate.
func (n *numberedTree) reports(source string, now time.Time, mutate func(int) int) *relay.Subtrees {
	out := relay.NewSubtrees()
	for router, s := range n.sources {
		if s == source {
			out.Record(router, relay.Subtree{Routers: mutate(n.size(router))}, now)
		}
	}
	return out
}

// number returns the positions of all routers that have one.
func (n *numberedTree) number(now time.Time, mutate func(int) int) map[string]ratelimit.Position {
	out := make(map[string]ratelimit.Position)
	replicas := relay.NewSubtrees()
	for _, replica := range n.replicas {
		replicas.Record(replica, relay.Subtree{Routers: n.size(replica)}, now)
	}
	count := replicas.Sum(relay.Applied{}, now).Routers
	for _, replica := range n.replicas {
		n.numberFollowers(replica, replicas.Part(relay.Numbering{Length: count, Count: count}, replica, now), now, mutate, out)
	}
	return out
}

func (n *numberedTree) numberFollowers(source string, whole relay.Numbering, now time.Time, mutate func(int) int, out map[string]ratelimit.Position) {
	reports := n.reports(source, now, mutate)
	for router, s := range n.sources {
		if s != source {
			continue
		}
		if part := reports.Part(whole, router, now); part.IsValid() {
			out[router] = part.Position()
			n.numberFollowers(router, part.Followers(), now, mutate, out)
		}
	}
}

func exact(size int) int { return size }

// TestIndicesOfSettledTreeAreUnique checks that the routers of any tree have the indices from 0 to
// Count-1, each once.
func TestIndicesOfSettledTreeAreUnique(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		tree := drawTree(t)
		seen := make(map[int]bool)
		for _, position := range tree.number(time.Unix(0, 0), exact) {
			g.Expect(position.Count).To(Equal(len(tree.sources)))
			seen[position.Index] = true
		}
		for i := range len(tree.sources) {
			g.Expect(seen).To(HaveKey(i))
		}
	})
}

// TestIndicesMoveByAtMostOne checks that one router more moves no other index by more than one, and
// none that precedes it.
func TestIndicesMoveByAtMostOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		tree := drawTree(t)
		now := time.Unix(0, 0)
		before := tree.number(now, exact)
		source := rapid.SampledFrom(slices.Concat(tree.replicas, slices.Sorted(maps.Keys(tree.sources)))).Draw(t, "source")
		name := fmt.Sprintf("router-%02d-new", rapid.IntRange(0, 99).Draw(t, "new router"))
		tree.sources[name] = source
		after := tree.number(now, exact)
		for router, position := range before {
			moved := after[router].Index - position.Index
			if position.Index < after[name].Index {
				g.Expect(moved).To(BeZero(), router)
			} else {
				g.Expect(moved).To(Equal(1), router)
			}
		}
	})
}

// TestIndicesAreUniqueWhileReportsAreWrong checks that no index is given twice and none is out of
// range while subtrees report wrong sizes.
func TestIndicesAreUniqueWhileReportsAreWrong(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		tree := drawTree(t)
		seen := make(map[int]string)
		wrong := func(size int) int { return rapid.IntRange(-1, 2*size).Draw(t, "reported") }
		for router, position := range tree.number(time.Unix(0, 0), wrong) {
			g.Expect(position.Index).To(And(BeNumerically(">=", 0), BeNumerically("<", position.Count)))
			g.Expect(seen).NotTo(HaveKey(position.Index), router)
			seen[position.Index] = router
		}
	})
}

func TestInvalidNumberingGivesNoPart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		now := time.Unix(0, 0)
		s := relay.NewSubtrees()
		s.Record("router-1", relay.Subtree{Routers: rapid.Int().Draw(t, "routers")}, now)
		whole := relay.Numbering{First: rapid.Int().Draw(t, "first"), Length: rapid.Int().Draw(t, "length"), Count: rapid.Int().Draw(t, "count")}
		part := s.Part(whole, "router-1", now)
		if part != (relay.Numbering{}) {
			g.Expect(part.IsValid()).To(BeTrue())
			g.Expect(part.First).To(BeNumerically(">=", whole.First))
			g.Expect(part.First + part.Length).To(BeNumerically("<=", whole.First+whole.Length))
		}
		g.Expect(whole.IsValid()).To(Equal(whole.Count > 0 && whole.Count <= relay.MaxRouters && whole.First >= 0 && whole.First < whole.Count &&
			whole.Length > 0 && whole.Length <= whole.Count-whole.First))
	})
}

func TestSilentFollowerHasNoIndices(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	s := relay.NewSubtrees()
	s.Record("router-1", relay.Subtree{Routers: 3}, now)
	s.Record("router-2", relay.Subtree{Routers: 2}, now.Add(2*time.Second))
	whole := relay.Numbering{First: 4, Length: 5, Count: 20}
	g.Expect(s.Part(whole, "router-2", now.Add(2*time.Second))).To(Equal(relay.Numbering{First: 7, Length: 2, Count: 20}))
	g.Expect(s.Part(whole, "router-2", now.Add(3*time.Second))).To(Equal(relay.Numbering{First: 4, Length: 2, Count: 20}))
	g.Expect(s.Part(whole, "router-1", now.Add(3*time.Second))).To(Equal(relay.Numbering{}))
}
