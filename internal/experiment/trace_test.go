package experiment_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/internal/balance"
)

// isOverBound reports whether the highest load exceeds the bound at a mean to which
// the bound applies.
func isOverBound(loads []int) bool {
	total, highest := 0, 0
	for _, load := range loads {
		total += load
		highest = max(highest, load)
	}
	mean := float64(total) / float64(len(loads))
	return mean >= 2 && float64(highest) > balance.DefaultLoadBound*mean+1
}

// TestNoPlacingRuleHoldsTheBoundAtEveryInstant shows that no placement rule can
// hold the bound at every instant without moving requests in flight. However a rule
// places 21 requests on 3 servers, some server has at least 7. Once the requests on
// the other servers complete until each has at most 2, the first server is over the
// bound although no request was placed meanwhile.
func TestNoPlacingRuleHoldsTheBoundAtEveryInstant(t *testing.T) {
	g := NewWithT(t)
	const requests, remaining = 21, 2
	for a := range requests + 1 {
		for b := range requests + 1 - a {
			placed := []int{a, b, requests - a - b}
			g.Expect(isOverBoundAfterCompletions(placed, remaining)).To(BeTrue(), "%v", placed)
		}
	}
}

// isOverBoundAfterCompletions reports whether the loads exceed the bound, either as
// given or after all servers but the highest loaded one have completed requests
// down to remaining.
func isOverBoundAfterCompletions(loads []int, remaining int) bool {
	highest := 0
	for i, load := range loads {
		if load > loads[highest] {
			highest = i
		}
	}
	afterCompletions := make([]int, len(loads))
	for i, load := range loads {
		afterCompletions[i] = load
		if i != highest {
			afterCompletions[i] = min(load, remaining)
		}
	}
	return isOverBound(loads) || isOverBound(afterCompletions)
}
