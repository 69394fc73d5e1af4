package membership

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/internal/rpc/memberpb"
)

func pools(slots, load uint32) []*memberpb.PoolSummary {
	return []*memberpb.PoolSummary{{Pool: "engine:models", Servers: 2, Slots: slots, Load: load}}
}

func TestSummaryMovesInSteps(t *testing.T) {
	g := NewWithT(t)
	out := outgoingSummary{}
	first := out.update("x", pools(160, 50)).GetVersion()
	g.Expect(out.update("x", pools(160, 59)).GetVersion()).To(Equal(first))
	g.Expect(out.update("x", pools(160, 41)).GetVersion()).To(Equal(first))
	g.Expect(out.update("x", pools(160, 60)).GetVersion()).NotTo(Equal(first))
	g.Expect(out.update("x", pools(161, 60)).GetPools()[0].GetSlots()).To(Equal(uint32(161)))
	g.Expect(out.update("x", nil).GetPools()).To(BeEmpty())
}

func TestSummariesArePassedOnOnce(t *testing.T) {
	g := NewWithT(t)
	s := &Service{summaries: make(map[string]domainSummary)}
	peer := &peerLink{relayed: make(map[string]relayedSummary)}
	now := time.Unix(100, 0)
	summary := &memberpb.DomainSummary{FailureDomain: "x", Pools: pools(160, 50), Version: 7}
	changed := &memberpb.Summaries{Changed: []*memberpb.DomainSummary{summary}}
	unchanged := &memberpb.Summaries{Unchanged: []uint64{7}}

	g.Expect(s.hearSummaries(now, unchanged, fromDomain)).To(Equal([]uint64{7}), "unknown before it was told whole")
	g.Expect(s.hearSummaries(now, changed, fromDomain)).To(BeEmpty())
	told := s.summariesFor(peer)
	g.Expect(told.GetChanged()).To(HaveLen(1))
	g.Expect(s.summariesFor(peer).GetChanged()).To(HaveLen(1), "again after an exchange that failed")
	s.summariesTaken(peer, told, nil)
	g.Expect(s.summariesFor(peer)).To(BeNil())

	g.Expect(s.hearSummaries(now.Add(time.Second), unchanged, fromDomain)).To(BeEmpty())
	told = s.summariesFor(peer)
	g.Expect(told.GetChanged()).To(BeEmpty())
	g.Expect(told.GetUnchanged()).To(Equal([]uint64{7}))
	s.summariesTaken(peer, told, []uint64{7})
	g.Expect(s.summariesFor(peer).GetChanged()).To(HaveLen(1), "whole to a router that has restarted")

	s.hearSummaries(now.Add(2*time.Second), unchanged, fromPeer)
	g.Expect(s.summariesFor(peer)).To(BeNil(), "hearsay goes no further")
}
