package claims

import (
	"testing"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/internal/ledger"
	"peridotwinch.example/peridotwinch/internal/ledger/quorum"
	"peridotwinch.example/peridotwinch/internal/settings"
	"peridotwinch.example/peridotwinch/internal/testcluster"
)

// TestSilentConnectionsAreReplaced lets every connection to the replicas go
// silent for good while new ones work.
func TestSilentConnectionsAreReplaced(t *testing.T) {
	g := NewWithT(t)
	bed := ledgers(t)
	g.Expect(waitAllActive(bed)).To(Succeed())
	var relays []*testcluster.Relay
	var fleet []quorum.Member
	for _, d := range bed.WithRole(settings.RoleLedger) {
		relay, err := testcluster.NewRelay(d.Settings.Listen.Peers)
		g.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(relay.Close)
		relays = append(relays, relay)
		fleet = append(fleet, quorum.Member{Instance: d.Name, Address: relay.Address()})
	}
	c := quorum.New(quorum.Members{Domain: "pwani-a", Fleet: fleet})
	_, decision := claim(c, customerKey("before"))
	g.Expect(decision.Verdict).To(Equal(ledger.VerdictGranted))

	setAll(relays, testcluster.Blackhole)
	_, decision = claimFor(c, customerKey("swallowed"), heldTimeout)
	g.Expect(decision.Verdict).To(Equal(ledger.VerdictUnavailable))
	setAll(relays, testcluster.Forward)
	_, decision = claim(c, customerKey("after"))
	g.Expect(decision.Verdict).To(Equal(ledger.VerdictGranted), "on new connections")
}

func setAll(relays []*testcluster.Relay, mode testcluster.Mode) {
	for _, relay := range relays {
		relay.Set(mode, mode)
	}
}
