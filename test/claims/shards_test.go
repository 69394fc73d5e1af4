package claims

import (
	"context"
	"fmt"
	"slices"
	"testing"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/ledger"
	"peridotwinch.example/peridotwinch/internal/ledger/quorum"
	"peridotwinch.example/peridotwinch/internal/settings"
	"peridotwinch.example/peridotwinch/internal/testcluster"
)

// twoShards are the shards of sixDomains.
var twoShards = [][]string{{"l-1", "l-2", "l-3"}, {"l-4", "l-5", "l-6"}}

// newSixDomains prepares six failure domains with a ledger replica each.
func newSixDomains(t *testing.T) *testcluster.Cluster {
	t.Helper()
	spec := testcluster.Spec{LedgerShards: twoShards}
	for i := range 6 {
		spec.Daemons = append(spec.Daemons, testcluster.DaemonSpec{
			Instance: fmt.Sprintf("l-%d", i+1), FailureDomain: fmt.Sprintf("pwani-%c", 'a'+i), Roles: []settings.Role{settings.RoleLedger},
		})
	}
	bed, err := testcluster.New(t.TempDir(), spec)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(bed.Close)
	return bed
}

// shardClaimer returns a claimer whose settings name these shards.
func shardClaimer(bed *testcluster.Cluster, shards [][]string) *quorum.Claimer {
	s := settings.Settings{FailureDomain: "pwani-a", LedgerShards: shards}
	for _, d := range bed.WithRole(settings.RoleLedger) {
		s.Peers = append(s.Peers, settings.Peer{
			Instance: d.Name, FailureDomain: d.Settings.FailureDomain, Address: d.Settings.Listen.Peers, Roles: d.Settings.Roles,
		})
	}
	return quorum.New(quorum.MembersFrom(&s))
}

// keyOf returns a new key of a shard among two.
func keyOf(shard, number int) ledger.Key {
	for i := 0; ; i++ {
		key := customerKey(fmt.Sprintf("charge-%d-%d", number, i))
		if key.Hash().Shard(len(twoShards)) == shard {
			return key
		}
	}
}

func TestShardsFailAlone(t *testing.T) {
	g := NewWithT(t)
	bed := newSixDomains(t)
	g.Expect(bed.Start()).To(Succeed())
	c := shardClaimer(bed, twoShards)
	for shard := range twoShards {
		g.Expect(testcluster.Eventually(func() error { return grantedOnce(c, keyOf(shard, 0)) })).To(Succeed())
	}
	g.Expect(bed.Daemons["l-4"].Kill()).To(Succeed())
	g.Expect(bed.Daemons["l-5"].Kill()).To(Succeed())
	_, decision := claim(c, keyOf(1, 1))
	g.Expect(decision.Verdict).To(Equal(ledger.VerdictUnavailable))
	g.Expect(grantedOnce(c, keyOf(0, 1))).To(Succeed())
	g.Expect(claimHeld(shardClaimer(bed, twoShards), keyOf(0, 1)).Verdict).To(Equal(ledger.VerdictHeld))
}

// TestOtherShardsAreRefused claims with settings of another number of shards.
func TestOtherShardsAreRefused(t *testing.T) {
	g := NewWithT(t)
	bed := newSixDomains(t)
	g.Expect(bed.Start()).To(Succeed())
	right := shardClaimer(bed, twoShards)
	for shard := range twoShards {
		g.Expect(testcluster.Eventually(func() error { return grantedOnce(right, keyOf(shard, 0)) })).To(Succeed())
	}
	for name, shards := range map[string][][]string{"none": nil, "one": twoShards[:1], "three": append(slices.Clone(twoShards), twoShards[0])} {
		other := shardClaimer(bed, shards)
		for shard := range twoShards {
			_, decision := claim(other, keyOf(shard, 1))
			g.Expect(decision.Verdict).To(Or(Equal(ledger.VerdictViewDiffers), Equal(ledger.VerdictUnavailable)), name)
		}
	}
	_, decision := claim(shardClaimer(bed, nil), customerKey("new"))
	g.Expect(decision.Verdict).To(Equal(ledger.VerdictViewDiffers))
}

// TestMajoritiesOfDifferentMembersNeverBothGrant claims one key with two lists
// of members whose majorities do not meet.
func TestMajoritiesOfDifferentMembersNeverBothGrant(t *testing.T) {
	g := NewWithT(t)
	bed := newSixDomains(t)
	for _, d := range bed.Daemons {
		d.Settings.LedgerShards = nil
		g.Expect(bed.WriteSettings(d.Name)).To(Succeed())
	}
	g.Expect(bed.Start()).To(Succeed())
	g.Expect(testcluster.Eventually(func() error { return grantedOnce(shardClaimer(bed, nil), customerKey("first")) })).To(Succeed())
	granted := 0
	for _, instances := range twoShards {
		members := quorum.Members{Domain: "pwani-a"}
		for _, name := range instances {
			members.Fleet = append(members.Fleet, quorum.Member{Instance: name, Address: bed.Daemons[name].Settings.Listen.Peers})
		}
		if claimHeld(quorum.New(members), customerKey("charge")).Verdict == ledger.VerdictGranted {
			granted++
		}
	}
	g.Expect(granted).To(Equal(1), "the replicas' own list counts")
}

// TestShardsFormOnlyWhenAllReplicasAgreeOnThem starts one replica with settings
// that name other shards.
func TestShardsFormOnlyWhenAllReplicasAgreeOnThem(t *testing.T) {
	g := NewWithT(t)
	bed := newSixDomains(t)
	other := bed.Daemons["l-6"]
	other.Settings.LedgerShards = [][]string{{"l-4", "l-5", "l-6"}}
	g.Expect(bed.WriteSettings("l-6")).To(Succeed())
	g.Expect(bed.Start()).To(Succeed())
	for _, d := range bed.Daemons {
		g.Expect(d.WaitReady()).To(Succeed())
	}
	for _, shards := range [][][]string{twoShards, other.Settings.LedgerShards} {
		_, decision := claim(shardClaimer(bed, shards), keyOf(0, 1))
		g.Expect(decision.Verdict).To(Equal(ledger.VerdictUnavailable))
	}
	g.Expect(other.Kill()).To(Succeed())
	other.Settings.LedgerShards = twoShards
	g.Expect(bed.WriteSettings("l-6")).To(Succeed())
	g.Expect(other.Start()).To(Succeed())
	c := shardClaimer(bed, twoShards)
	for shard := range twoShards {
		g.Expect(testcluster.Eventually(func() error { return grantedOnce(c, keyOf(shard, 2)) })).To(Succeed())
	}
}

func TestFormedLedgerRefusesAnotherNumberOfShards(t *testing.T) {
	g := NewWithT(t)
	bed := newSixDomains(t)
	g.Expect(bed.Start()).To(Succeed())
	g.Expect(testcluster.Eventually(func() error { return grantedOnce(shardClaimer(bed, twoShards), keyOf(0, 0)) })).To(Succeed())
	d := bed.Daemons["l-1"]
	g.Expect(d.Kill()).To(Succeed())
	for _, shards := range [][][]string{nil, twoShards[:1]} {
		d.Settings.LedgerShards = shards
		g.Expect(bed.WriteSettings("l-1")).To(Succeed())
		out, code := testcluster.RunCommand("serve", "-settings", settingsOf(bed, "l-1"))
		g.Expect(code).To(Equal(api.ExitRefused), out)
		g.Expect(out).To(ContainSubstring("ledger_view_differs"))
	}
}

func TestShardedKeysAreReleasedAndCompleted(t *testing.T) {
	g := NewWithT(t)
	bed := newSixDomains(t)
	g.Expect(bed.Start()).To(Succeed())
	c := shardClaimer(bed, twoShards)
	ctx := context.Background()
	for shard := range twoShards {
		key := keyOf(shard, 1)
		var attempt ledger.AttemptID
		g.Expect(testcluster.Eventually(func() error {
			var decision ledger.Decision
			if attempt, decision = claim(c, key); decision.Verdict != ledger.VerdictGranted {
				return verdictError(decision.Verdict)
			}
			return nil
		})).To(Succeed())
		g.Expect(c.Release(ctx, key, attempt)).To(Succeed())
		attempt, decision := claim(c, key)
		g.Expect(decision.Verdict).To(Equal(ledger.VerdictGranted))
		g.Expect(c.Complete(ctx, key, attempt, ledger.Answer{Status: 200, Body: []byte("paid")})).To(Succeed())
		_, decision = claim(shardClaimer(bed, twoShards), key)
		g.Expect(decision.Verdict).To(Equal(ledger.VerdictCompleted))
	}
}
