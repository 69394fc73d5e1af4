package spec

import "testing"

func relaysModel(defines ...string) modelCheck {
	return modelCheck{model: "relays.pml", depth: 5_000_000, defines: defines}
}

func TestRelaysHold(t *testing.T) {
	t.Parallel()
	expectHolds(t, relaysModel("SWITCHES=0"))
	expectHolds(t, relaysModel("SWITCHES=2", "RESTARTS=0", "FREEZES=0"))
}

// TestRelaysNeedEachRule guards against rules that the model does not exercise: removing any
// one of them must lead to a violation.
func TestRelaysNeedEachRule(t *testing.T) {
	t.Parallel()
	for _, rule := range []string{"NOT_MONOTONIC", "SERVE_UNCONFIRMED", "CONFIRM_LATE_READ", "KEEP_SILENT"} {
		expectRefutedInSubtest(t, rule, relaysModel(rule, "SWITCHES=0"))
	}
	expectRefutedInSubtest(t, "NO_PATHS", relaysModel("NO_PATHS", "SWITCHES=2", "RESTARTS=0", "FREEZES=0"))
}

// TestRelaysRelay guards against a model in which no table passes through two relays.
func TestRelaysRelay(t *testing.T) {
	t.Parallel()
	expectRefuted(t, relaysModel("NEVER_RELAYED", "SWITCHES=0"))
}
