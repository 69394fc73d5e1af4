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

// TestSummaryChangesInLoadSteps guards against new summaries for small changes of a
// load, which cost control traffic.
func TestSummaryChangesInLoadSteps(t *testing.T) {
	g := NewWithT(t)
	out := outgoingSummary{}
	first := out.update("x", pools(160, 50)).GetVersion()
	g.Expect(out.update("x", pools(160, 59)).GetVersion()).To(Equal(first))
	g.Expect(out.update("x", pools(160, 41)).GetVersion()).To(Equal(first))
	g.Expect(out.update("x", pools(160, 60)).GetVersion()).NotTo(Equal(first))
	g.Expect(out.update("x", pools(161, 60)).GetPools()[0].GetSlots()).To(Equal(uint32(161)))
	g.Expect(out.update("x", nil).GetPools()).To(BeEmpty())
}

// TestSummaryIsRelayedOnce guards against summaries that circulate between the routers
// of a failure domain, and against relayed summaries that a failed exchange or a
// restarted router loses.
func TestSummaryIsRelayedOnce(t *testing.T) {
	g := NewWithT(t)
	s := &Service{summaries: make(map[string]domainSummary)}
	peer := &peerLink{relayed: make(map[string]relayedSummary)}
	now := time.Unix(100, 0)
	summary := &memberpb.DomainSummary{FailureDomain: "x", Pools: pools(160, 50), Version: 7}
	changed := &memberpb.Summaries{Changed: []*memberpb.DomainSummary{summary}}
	unchanged := &memberpb.Summaries{Unchanged: []uint64{7}}

	g.Expect(s.recordSummaries(now, unchanged, fromDomain)).To(Equal([]uint64{7}), "the version is unknown before the full summary is received")
	g.Expect(s.recordSummaries(now, changed, fromDomain)).To(BeEmpty())
	sent := s.summariesFor(peer)
	g.Expect(sent.GetChanged()).To(HaveLen(1))
	g.Expect(s.summariesFor(peer).GetChanged()).To(HaveLen(1), "sent again after a failed exchange")
	s.recordRelayed(peer, sent, nil)
	g.Expect(s.summariesFor(peer)).To(BeNil())

	g.Expect(s.recordSummaries(now.Add(time.Second), unchanged, fromDomain)).To(BeEmpty())
	sent = s.summariesFor(peer)
	g.Expect(sent.GetChanged()).To(BeEmpty())
	g.Expect(sent.GetUnchanged()).To(Equal([]uint64{7}))
	s.recordRelayed(peer, sent, []uint64{7})
	g.Expect(s.summariesFor(peer).GetChanged()).To(HaveLen(1), "sent in full to a restarted router")

	s.recordSummaries(now.Add(2*time.Second), unchanged, fromPeer)
	g.Expect(s.summariesFor(peer)).To(BeNil(), "a relayed summary is not relayed again")
}
