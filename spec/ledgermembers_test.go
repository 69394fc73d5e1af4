package spec

import (
	"testing"

	. "github.com/onsi/gomega"
)

// ledgerMembersDepth is the search depth limit of the model of a change of members.
const ledgerMembersDepth = 1_000_000

func members(defines ...string) run {
	return run{model: "ledgermembers.pml", depth: ledgerMembersDepth, defines: defines, optimization: "-O0"}
}

// rivals is the model with two operators, whose search is the largest.
func rivals(defines ...string) run {
	out := members(append(defines, "OPERATORS=2")...)
	out.optimization = "-O1"
	return out
}

func TestChangeOfMembersHolds(t *testing.T) {
	t.Parallel()
	expectHolds(t, members())
	expectHolds(t, members("RECOVERIES=2"))
	expectHolds(t, members("STARTS=2"))
}

func TestChangeOfMembersHoldsWithALostDisk(t *testing.T) {
	t.Parallel()
	expectHolds(t, members("LOSSES=1"))
}

func TestChangeOfMembersHoldsWithTwoOperators(t *testing.T) {
	t.Parallel()
	expectHolds(t, rivals())
}

func TestChangeOfMembersWithoutOneRuleIsRefuted(t *testing.T) {
	t.Parallel()
	for _, rule := range []string{"NO_VIEW", "NO_SEAL", "EARLY", "ONE_COPY"} {
		refute(t, rule, members(rule))
	}
	for _, rule := range []string{"NO_PROMISE", "IGNORE_PENDING", "ONE_ACCEPTS", "NO_RAISE"} {
		refute(t, rule+" with two operators", rivals(rule))
	}
	for _, rule := range []string{"NO_RAISE", "OLD_LIST"} {
		refute(t, rule+" with a lost disk", members(rule, "LOSSES=1"))
	}
}

func refute(t *testing.T, name string, r run) {
	t.Run(name, func(t *testing.T) {
		t.Parallel()
		expectRefuted(t, r)
	})
}

func TestChangeOfMembersHappens(t *testing.T) {
	t.Parallel()
	expectRefuted(t, members("NEVER_CHANGED"))
	expectRefuted(t, members("NEVER_DONE"))
}

// TestRunnerTellsAnUnfinishedSearch runs out of the verifier's memory limit.
func TestRunnerTellsAnUnfinishedSearch(t *testing.T) {
	t.Parallel()
	small := rivals()
	small.panOptions = []string{"MEMLIM=50"}
	got := verify(t, small)
	g := NewWithT(t)
	g.Expect(got.errors).To(BeZero())
	g.Expect(got.truncated).To(BeTrue(), got.output)
}
