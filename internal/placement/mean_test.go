package placement_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/internal/placement"
)

// TestMeanOfLargePoolIsNotThatOfItsHighestLoads guards against prompts that stay on overloaded servers
// because a router knows the loads of the most loaded servers only, and takes their mean for the pool's.
func TestMeanOfLargePoolIsNotThatOfItsHighestLoads(t *testing.T) {
	g := NewWithT(t)
	p := largePool(0)
	record := func(now time.Time) {
		for i := range 300 {
			p.RecordPeerLoad(uint64(10*i+1), placement.Load{Running: 9, At: now})
		}
	}
	record(start)
	onLoaded := func(now time.Time) (count int) {
		for key := range uint64(500) {
			if p.Choose(promptRequest(key), now).Choice.Load == 9 {
				count++
			}
		}
		return count
	}
	g.Expect(onLoaded(start)).To(BeNumerically(">", 20))
	p.RecordMeanLoad(4, start)
	g.Expect(onLoaded(start)).To(BeZero())
	p.RecordMeanLoad(9, start.Add(-time.Second))
	g.Expect(onLoaded(start)).To(BeZero(), "an older mean does not replace a newer one")
	record(start.Add(4 * time.Second))
	g.Expect(onLoaded(start.Add(4*time.Second))).To(BeNumerically(">", 20), "the mean is outdated")
}
