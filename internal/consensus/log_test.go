package consensus

import (
	"testing"

	. "github.com/onsi/gomega"
)

func TestCompactionLimitsRetainedEntriesByCountAndBytes(t *testing.T) {
	g := NewWithT(t)
	log := newEntryLog(Snapshot{Index: 10, Term: 1}, nil)
	for index := uint64(11); index <= 30; index++ {
		log.append(Entry{Index: index, Term: 1, Data: make([]byte, 1000-entryOverheadBytes)})
	}
	g.Expect(log.compactionIndex(30, 256, 5000)).To(Equal(uint64(25)), "five entries of 1,000 bytes")
	g.Expect(log.compactionIndex(30, 3, 5000)).To(Equal(uint64(27)), "three entries")
	g.Expect(log.compactionIndex(30, 256, 1<<20)).To(Equal(uint64(10)), "all entries")
	g.Expect(log.compactionIndex(30, 256, 10)).To(Equal(uint64(30)), "no entry fits into 10 bytes")
	log.compact(25)
	g.Expect(log.slice(26, unlimitedBytes)).To(HaveLen(5))
}
