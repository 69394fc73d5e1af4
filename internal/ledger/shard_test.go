package ledger

import (
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// TestShardsAreRangesOfSlots checks that each slot has one shard, that none is
// empty, and that the slot does not depend on the number of shards.
func TestShardsAreRangesOfSlots(t *testing.T) {
	g := NewWithT(t)
	for shards := 1; shards <= Slots; shards++ {
		last := 0
		for slot := range Slots {
			shard := KeyHash{byte(slot)}.Shard(shards)
			g.Expect(shard-last).To(BeElementOf(0, 1), "%d shards, slot %d", shards, slot)
			last = shard
		}
		g.Expect(last).To(Equal(shards - 1))
	}
}

// TestOperationsOfAnotherViewChangeNothing sends operations with any other view.
func TestOperationsOfAnotherViewChangeNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := activeState(3)
		r := ClaimRequest{Attempt: attemptID(0), Epoch: rapid.Uint64().Draw(t, "epoch")}
		r.View = View(rapid.IntRange(0, Slots).Draw(t, "shards"), testList(rapid.IntRange(0, 5).Draw(t, "members")).Members)
		if r.View == testView {
			t.Skip("the same view")
		}
		reply, changes := s.Claim(testNow, r)
		released, more := s.Release(testNow, r)
		completed, most := s.Complete(testNow, r, Answer{})
		for _, one := range []Reply{reply, released, completed} {
			if one.Status != StatusViewDiffers || one.List == nil {
				t.Fatalf("reply %+v", one)
			}
		}
		if len(changes)+len(more)+len(most) > 0 || s.Len() > 0 {
			t.Fatal("the replica has changed")
		}
	})
}
