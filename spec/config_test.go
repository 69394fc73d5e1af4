package spec

import "testing"

const configModel = "config.pml"

// configDepth is the search depth limit in steps; it exceeds the longest path of the model.
const configDepth = 1_000_000

func TestConfigHolds(t *testing.T) {
	t.Parallel()
	for _, defines := range [][]string{
		{"TERMS=4", "ENTRIES=1", "CRASHES=2"},
		{"TERMS=3", "ENTRIES=2", "CRASHES=1"},
		{"TERMS=3", "ENTRIES=2", "CRASHES=0", "READS"},
	} {
		expectHolds(t, modelCheck{model: configModel, depth: configDepth, defines: defines})
	}
}

// TestConfigNeedsEachRule guards against rules that the model does not exercise: removing
// any one of them must lead to a violation.
func TestConfigNeedsEachRule(t *testing.T) {
	t.Parallel()
	writes := []string{"TERMS=4", "ENTRIES=1", "CRASHES=2"}
	reads := []string{"TERMS=3", "ENTRIES=2", "CRASHES=0", "READS"}
	for _, variant := range []struct {
		rule string
		size []string
	}{
		{"COMMIT_OLD_TERM", writes},
		{"VOTE_NOT_SYNCED", writes},
		{"APPEND_NOT_SYNCED", writes},
		{"NO_LOG_COMPARISON", writes},
		{"SAME_ID_AFTER_LOSS", writes},
		{"READ_UNCONFIRMED", reads},
		{"READ_UNSETTLED", reads},
	} {
		t.Run(variant.rule, func(t *testing.T) {
			expectRefuted(t, modelCheck{model: configModel, depth: configDepth, defines: append([]string{variant.rule}, variant.size...)})
		})
	}
}
