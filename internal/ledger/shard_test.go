package ledger

import (
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// TestEachShardIsContiguousRangeOfSlots guards against empty shards, and slots
// without a shard or out of order, for every number of shards. The slot of a key
// does not depend on the number of shards.
func TestEachShardIsContiguousRangeOfSlots(t *testing.T) {
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

// TestOperationsWithDifferentViewAreRefused guards against grants to claimers with
// another shard count or member list, whose majorities need not intersect the
// group's.
func TestOperationsWithDifferentViewAreRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := activeState(3)
		r := ClaimRequest{Attempt: attemptID(0), Epoch: rapid.Uint64().Draw(t, "epoch")}
		r.View = ViewFingerprint(rapid.IntRange(0, Slots).Draw(t, "shards"), testList(rapid.IntRange(0, 5).Draw(t, "members")).Members)
		if r.View == testView {
			t.Skip("the view is the same")
		}
		claimed, claimChanges := s.Claim(testNow, r)
		released, releaseChanges := s.Release(testNow, r)
		completed, completeChanges := s.Complete(testNow, r, Answer{})
		for _, reply := range []Reply{claimed, released, completed} {
			if reply.Status != StatusViewDiffers || reply.List == nil {
				t.Fatalf("reply %+v, want StatusViewDiffers with the member list", reply)
			}
		}
		if len(claimChanges)+len(releaseChanges)+len(completeChanges) > 0 || s.Len() > 0 {
			t.Fatal("refused operations changed the replica")
		}
	})
}
