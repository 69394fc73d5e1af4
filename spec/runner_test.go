package spec

import "testing"

func TestRunnerTellsHoldsFromRefuted(t *testing.T) {
	expectHolds(t, run{model: "testdata/counter.pml", depth: 1000})
	expectRefuted(t, run{model: "testdata/counter.pml", depth: 1000, defines: []string{"NO_BOUND"}})
}
