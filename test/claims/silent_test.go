package claims

import (
	"testing"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/internal/ledger"
	"peridotwinch.example/peridotwinch/internal/ledger/quorum"
	"peridotwinch.example/peridotwinch/internal/settings"
	"peridotwinch.example/peridotwinch/internal/testcluster"
)

// All existing connections to the replicas stop delivering without an error, while
// new connections work. Claims must replace the silent connections instead of
// timing out on them forever.
func TestSilentConnectionsAreReplaced(t *testing.T) {
	g := NewWithT(t)
	cluster := startLedgerCluster(t)
	g.Expect(waitAllActive(cluster)).To(Succeed())
	var relays []*testcluster.Relay
	var fleet []quorum.Member
	for _, d := range cluster.WithRole(settings.RoleLedger) {
		relay, err := testcluster.NewRelay(d.Settings.Listen.Peers)
		g.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(relay.Close)
		relays = append(relays, relay)
		fleet = append(fleet, quorum.Member{Instance: d.Name, Address: relay.Address()})
	}
	c := quorum.New(quorum.Members{Domain: "pwani-a", Fleet: fleet})
	_, decision := claim(c, customerKey("before"))
	g.Expect(decision.Verdict).To(Equal(ledger.VerdictGranted))

	setRelayModes(relays, testcluster.Blackhole)
	_, decision = claimWithTimeout(c, customerKey("blackholed"), heldTimeout)
	g.Expect(decision.Verdict).To(Equal(ledger.VerdictUnavailable))
	setRelayModes(relays, testcluster.Forward)
	_, decision = claim(c, customerKey("after"))
	g.Expect(decision.Verdict).To(Equal(ledger.VerdictGranted), "on new connections")
}

func setRelayModes(relays []*testcluster.Relay, mode testcluster.Mode) {
	for _, relay := range relays {
		relay.Set(mode, mode)
	}
}
