package experiment_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/internal/balance"
)

// isOver reports whether the highest load is over the bound, at a mean from
// which on that holds.
func isOver(loads []int) bool {
	total, highest := 0, 0
	for _, load := range loads {
		total += load
		highest = max(highest, load)
	}
	mean := float64(total) / float64(len(loads))
	return mean >= 2 && float64(highest) > balance.DefaultLoadBound*mean+1
}

// TestNoPlacingRuleHoldsTheBoundAtEveryInstant shows why a bound at every
// instant is beyond any rule that leaves requests in flight where they are.
// Whatever the rule does with 21 requests on 3 servers, some server has at
// least 7. Let the requests of the others end until each has at most 2: nothing
// was placed meanwhile, and the first server is over the bound.
func TestNoPlacingRuleHoldsTheBoundAtEveryInstant(t *testing.T) {
	g := NewWithT(t)
	const requests, left = 21, 2
	for a := range requests + 1 {
		for b := range requests + 1 - a {
			placed := []int{a, b, requests - a - b}
			g.Expect(overAfterEnds(placed, left)).To(BeTrue(), "%v", placed)
		}
	}
}

// overAfterEnds reports whether the loads go over the bound, at the latest once
// all servers but the highest have let their requests end but for some.
func overAfterEnds(loads []int, left int) bool {
	highest := 0
	for i, load := range loads {
		if load > loads[highest] {
			highest = i
		}
	}
	ended := make([]int, len(loads))
	for i, load := range loads {
		ended[i] = load
		if i != highest {
			ended[i] = min(load, left)
		}
	}
	return isOver(loads) || isOver(ended)
}
