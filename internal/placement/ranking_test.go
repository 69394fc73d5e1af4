package placement_test

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"peridotwinch.example/peridotwinch/internal/placement"
)

// TestRankingEqualsSortedOrder guards against routers of two versions that send a prompt to different
// servers: the order by score was that of a sort before.
func TestRankingEqualsSortedOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		key := rapid.Uint64().Draw(rt, "key")
		ids := make([]string, rapid.IntRange(1, 300).Draw(rt, "servers"))
		for i := range ids {
			ids[i] = fmt.Sprint("server-", i)
		}
		expected := slices.Clone(ids)
		slices.SortFunc(expected, func(a, b string) int { return cmp.Compare(placement.Score(b, key), placement.Score(a, key)) })
		if got := placement.Ranked(ids, key); !slices.Equal(got, expected) {
			rt.Fatalf("%v instead of %v", got, expected)
		}
	})
}

// TestSmallestEqualsSortedOrder guards against a wrong median, with few and with many equal values.
func TestSmallestEqualsSortedOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		highest := rapid.SampledFrom([]float64{1, 5, 1e6}).Draw(rt, "highest")
		values := rapid.SliceOfN(rapid.Float64Range(0, highest), 1, 200).Draw(rt, "values")
		if rapid.Bool().Draw(rt, "whole") {
			for i := range values {
				values[i] = float64(int(values[i]))
			}
		}
		expected := slices.Sorted(slices.Values(values))
		n := rapid.IntRange(0, len(values)-1).Draw(rt, "n")
		if got := placement.Smallest(slices.Clone(values), n); got != expected[n] {
			rt.Fatalf("%v instead of %v", got, expected[n])
		}
	})
}
