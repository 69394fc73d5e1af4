package spec

import "testing"

func TestRunnerDistinguishesHoldingFromRefutedModel(t *testing.T) {
	expectHolds(t, modelCheck{model: "testdata/counter.pml", depth: 1000})
	expectRefuted(t, modelCheck{model: "testdata/counter.pml", depth: 1000, defines: []string{"NO_BOUND"}})
}
