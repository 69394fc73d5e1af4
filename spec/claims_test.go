package spec

import "testing"

// claimsDepth is the search depth limit for claims.pml, in steps.
const claimsDepth = 1_000_000

func claimsModel(defines ...string) modelCheck {
	return modelCheck{model: "claims.pml", depth: claimsDepth, defines: defines}
}

func TestClaimsHold(t *testing.T) {
	t.Parallel()
	expectHolds(t, claimsModel())
	expectHolds(t, claimsModel("RESTARTS=1"))
}

func TestClaimsHoldWithFurtherDiskLossAfterRecovery(t *testing.T) {
	t.Parallel()
	expectHolds(t, claimsModel("LOSSES=2"))
	expectHolds(t, claimsModel("LOSSES=2", "RESTARTS=1"))
	expectHolds(t, claimsModel("LOSSES=3"))
}

func TestClaimsWithoutOneRuleAreRefuted(t *testing.T) {
	t.Parallel()
	rules := []string{"NO_RAISE", "RAISE_ONE", "ONE_COPY", "FIRST_COPY", "LATE_DISPATCH", "ANY_EPOCH"}
	for _, rule := range rules {
		expectRefuted(t, claimsModel(rule))
	}
}

func TestReleasedKeyStaysFree(t *testing.T) {
	t.Parallel()
	expectHolds(t, claimsModel("CHECK_FREE"))
	expectHolds(t, claimsModel("CHECK_FREE", "LOSSES=2"))
	expectRefuted(t, claimsModel("CHECK_FREE", "ANY_RELEASE"))
}

// TestMissingTombstoneBlocksProgressOnly guards against relying on tombstones for safety:
// without them no second attempt runs, but a delayed claim can hold a released key forever.
func TestMissingTombstoneBlocksProgressOnly(t *testing.T) {
	t.Parallel()
	expectHolds(t, claimsModel("NO_TOMBSTONE"))
	expectHolds(t, claimsModel("NO_TOMBSTONE", "LOSSES=2"))
	expectRefuted(t, claimsModel("NO_TOMBSTONE", "CHECK_FREE"))
}

// TestReleasedKeyCanRunAgain guards against a model in which a release never leads to
// another run: Spin must find a state that violates NEVER_AGAIN.
func TestReleasedKeyCanRunAgain(t *testing.T) {
	t.Parallel()
	expectRefuted(t, claimsModel("NEVER_AGAIN"))
}
