package spec

import "testing"

// claimsDepth is the search depth limit of the model of claims.
const claimsDepth = 1_000_000

func claims(defines ...string) run {
	return run{model: "claims.pml", depth: claimsDepth, defines: defines}
}

func TestClaimsHold(t *testing.T) {
	t.Parallel()
	expectHolds(t, claims())
	expectHolds(t, claims("RESTARTS=1"))
}

func TestClaimsHoldWhenASecondDiskIsLostAfterTheRecovery(t *testing.T) {
	t.Parallel()
	expectHolds(t, claims("LOSSES=2"))
	expectHolds(t, claims("LOSSES=2", "RESTARTS=1"))
	expectHolds(t, claims("LOSSES=3"))
}

func TestClaimsWithoutOneRuleAreRefuted(t *testing.T) {
	t.Parallel()
	rules := []string{"NO_RAISE", "RAISE_ONE", "ONE_COPY", "FIRST_COPY", "LATE_DISPATCH", "ANY_EPOCH"}
	for _, rule := range rules {
		expectRefuted(t, claims(rule))
	}
}

func TestReleasedKeyStaysFree(t *testing.T) {
	t.Parallel()
	expectHolds(t, claims("CHECK_FREE"))
	expectHolds(t, claims("CHECK_FREE", "LOSSES=2"))
	expectRefuted(t, claims("CHECK_FREE", "ANY_RELEASE"))
}

// TestTombstoneMattersForProgressOnly shows that without it no second attempt
// runs, but a late claim takes a released key away for good.
func TestTombstoneMattersForProgressOnly(t *testing.T) {
	t.Parallel()
	expectHolds(t, claims("NO_TOMBSTONE"))
	expectHolds(t, claims("NO_TOMBSTONE", "LOSSES=2"))
	expectRefuted(t, claims("NO_TOMBSTONE", "CHECK_FREE"))
}

func TestReleasedKeyRunsAgain(t *testing.T) {
	t.Parallel()
	expectRefuted(t, claims("NEVER_AGAIN"))
}
