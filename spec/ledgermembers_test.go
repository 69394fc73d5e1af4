package spec

import (
	"testing"

	. "github.com/onsi/gomega"
)

// ledgerMembersDepth is the search depth limit for ledgermembers.pml, in steps.
const ledgerMembersDepth = 1_000_000

func ledgerMembersModel(defines ...string) modelCheck {
	return modelCheck{model: "ledgermembers.pml", depth: ledgerMembersDepth, defines: defines, optimization: "-O0"}
}

// twoOperatorsModel is the model with two concurrent operators, which has the most states.
func twoOperatorsModel(defines ...string) modelCheck {
	out := ledgerMembersModel(append(defines, "OPERATORS=2")...)
	out.optimization = "-O1"
	return out
}

func TestChangeOfMembersHolds(t *testing.T) {
	t.Parallel()
	expectHolds(t, ledgerMembersModel())
	expectHolds(t, ledgerMembersModel("RECOVERIES=2"))
	expectHolds(t, ledgerMembersModel("STARTS=2"))
}

func TestChangeOfMembersHoldsWithALostDisk(t *testing.T) {
	t.Parallel()
	expectHolds(t, ledgerMembersModel("LOSSES=1"))
}

func TestChangeOfMembersHoldsWithTwoOperators(t *testing.T) {
	t.Parallel()
	expectHolds(t, twoOperatorsModel())
}

func TestChangeOfMembersWithoutOneRuleIsRefuted(t *testing.T) {
	t.Parallel()
	for _, rule := range []string{"NO_VIEW", "NO_SEAL", "EARLY", "ONE_COPY"} {
		expectRefutedInSubtest(t, rule, ledgerMembersModel(rule))
	}
	for _, rule := range []string{"NO_PROMISE", "IGNORE_PENDING", "ONE_ACCEPTS", "NO_RAISE"} {
		expectRefutedInSubtest(t, rule+" with two operators", twoOperatorsModel(rule))
	}
	for _, rule := range []string{"NO_RAISE", "OLD_LIST"} {
		expectRefutedInSubtest(t, rule+" with a lost disk", ledgerMembersModel(rule, "LOSSES=1"))
	}
}

func expectRefutedInSubtest(t *testing.T, name string, check modelCheck) {
	t.Run(name, func(t *testing.T) {
		t.Parallel()
		expectRefuted(t, check)
	})
}

// TestChangeOfMembersHappens guards against a model in which no membership change completes:
// Spin must find states that violate NEVER_CHANGED and NEVER_DONE.
func TestChangeOfMembersHappens(t *testing.T) {
	t.Parallel()
	expectRefuted(t, ledgerMembersModel("NEVER_CHANGED"))
	expectRefuted(t, ledgerMembersModel("NEVER_DONE"))
}

// TestRunnerReportsIncompleteSearch guards against counting a search as passed that the
// verifier's memory limit ended early.
func TestRunnerReportsIncompleteSearch(t *testing.T) {
	t.Parallel()
	limited := twoOperatorsModel()
	limited.panOptions = []string{"MEMLIM=50"}
	got := verify(t, limited)
	g := NewWithT(t)
	g.Expect(got.errors).To(BeZero())
	g.Expect(got.incomplete).To(BeTrue(), got.output)
}
