package spec

import "testing"

// Models of the configuration group's membership changes and snapshots.
const (
	membersModel   = "members.pml"
	snapshotsModel = "snapshots.pml"
)

func TestConfigMembersHold(t *testing.T) {
	t.Parallel()
	expectHolds(t, modelCheck{model: membersModel, depth: configDepth})
}

func TestConfigMembersNeedEachRule(t *testing.T) {
	t.Parallel()
	expectEachRefuted(t, membersModel, "TWO_AT_ONCE", "SWAP_IN_ONE", "NOT_CAUGHT_UP", "LATE_TAKEOVER")
}

func TestConfigSnapshotsHold(t *testing.T) {
	t.Parallel()
	expectHolds(t, modelCheck{model: snapshotsModel, depth: configDepth})
}

func TestConfigSnapshotsNeedEachRule(t *testing.T) {
	t.Parallel()
	expectEachRefuted(t, snapshotsModel, "NO_REQUESTS", "NO_REVISION", "LATE_STATE", "CUT_FIRST")
}

// expectEachRefuted removes one rule of a model at a time and expects a violation for each.
func expectEachRefuted(t *testing.T, model string, rules ...string) {
	for _, rule := range rules {
		t.Run(rule, func(t *testing.T) {
			expectRefuted(t, modelCheck{model: model, depth: configDepth, defines: []string{rule}})
		})
	}
}
