package spec

import "testing"

func evacuationModel(defines ...string) modelCheck {
	return modelCheck{model: "evacuation.pml", depth: 1_000_000, defines: defines}
}

// TestEvacuationRepeatsHold checks that a repeat of an order that is handled late has no effect.
func TestEvacuationRepeatsHold(t *testing.T) {
	t.Parallel()
	expectHolds(t, evacuationModel())
}

// TestEvacuationRepeatsNeedEachRule guards against rules that the model does not exercise: removing
// any one of them must lead to a violation.
func TestEvacuationRepeatsNeedEachRule(t *testing.T) {
	t.Parallel()
	for _, rule := range []string{"NO_CHECK", "CHECK_FIRST", "CHECK_ONCE", "NO_BASE", "SKIP_REPEATED", "NEVER_REFUSED"} {
		expectRefutedInSubtest(t, rule, evacuationModel(rule))
	}
}
