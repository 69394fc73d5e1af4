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

// twoShards lists the members of the two shards that newSixDomains prepares.
var twoShards = [][]string{{"l-1", "l-2", "l-3"}, {"l-4", "l-5", "l-6"}}

// newSixDomains prepares a ledger replica in each of six failure domains, in two
// shards, without starting them.
func newSixDomains(t *testing.T) *testcluster.Cluster {
	t.Helper()
	spec := testcluster.Spec{LedgerShards: twoShards}
	for i := range 6 {
		spec.Daemons = append(spec.Daemons, testcluster.DaemonSpec{
			Instance: fmt.Sprintf("l-%d", i+1), FailureDomain: fmt.Sprintf("pwani-%c", 'a'+i), Roles: []settings.Role{settings.RoleLedger},
		})
	}
	cluster, err := testcluster.New(t.TempDir(), spec)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(cluster.Close)
	return cluster
}

// shardClaimer returns a claimer whose settings name these shards.
func shardClaimer(cluster *testcluster.Cluster, shards [][]string) *quorum.Claimer {
	s := settings.Settings{FailureDomain: "pwani-a", LedgerShards: shards}
	for _, d := range cluster.WithRole(settings.RoleLedger) {
		s.Peers = append(s.Peers, settings.Peer{
			Instance: d.Name, FailureDomain: d.Settings.FailureDomain, Address: d.Settings.Listen.Peers, Roles: d.Settings.Roles,
		})
	}
	return quorum.New(quorum.MembersFrom(&s))
}

// keyInShard returns the key with this number in one of the two shards; the same
// arguments return the same key.
func keyInShard(shard, number int) ledger.Key {
	for i := 0; ; i++ {
		key := customerKey(fmt.Sprintf("charge-%d-%d", number, i))
		if key.Hash().Shard(len(twoShards)) == shard {
			return key
		}
	}
}

// One of two shards loses its majority. Its keys must be unavailable, while the
// other shard still grants and holds keys.
func TestShardsFailAlone(t *testing.T) {
	g := NewWithT(t)
	cluster := newSixDomains(t)
	g.Expect(cluster.Start()).To(Succeed())
	c := shardClaimer(cluster, twoShards)
	for shard := range twoShards {
		g.Expect(testcluster.Eventually(func() error { return claimGranted(c, keyInShard(shard, 0)) })).To(Succeed())
	}
	g.Expect(cluster.Daemons["l-4"].Kill()).To(Succeed())
	g.Expect(cluster.Daemons["l-5"].Kill()).To(Succeed())
	_, decision := claim(c, keyInShard(1, 1))
	g.Expect(decision.Verdict).To(Equal(ledger.VerdictUnavailable))
	g.Expect(claimGranted(c, keyInShard(0, 1))).To(Succeed())
	g.Expect(claimHeldKey(shardClaimer(cluster, twoShards), keyInShard(0, 1)).Verdict).To(Equal(ledger.VerdictHeld))
}

// A claimer's settings name another number of shards than the replicas have, so it
// would claim keys at the wrong group. The replicas must refuse its claims.
func TestClaimsWithDifferentShardCountAreRefused(t *testing.T) {
	g := NewWithT(t)
	cluster := newSixDomains(t)
	g.Expect(cluster.Start()).To(Succeed())
	sameShards := shardClaimer(cluster, twoShards)
	for shard := range twoShards {
		g.Expect(testcluster.Eventually(func() error { return claimGranted(sameShards, keyInShard(shard, 0)) })).To(Succeed())
	}
	for name, shards := range map[string][][]string{"none": nil, "one": twoShards[:1], "three": append(slices.Clone(twoShards), twoShards[0])} {
		otherShards := shardClaimer(cluster, shards)
		for shard := range twoShards {
			_, decision := claim(otherShards, keyInShard(shard, 1))
			g.Expect(decision.Verdict).To(Or(Equal(ledger.VerdictViewDiffers), Equal(ledger.VerdictUnavailable)), name)
		}
	}
	_, decision := claim(shardClaimer(cluster, nil), customerKey("new"))
	g.Expect(decision.Verdict).To(Equal(ledger.VerdictViewDiffers))
}

// Two claimers have disjoint member lists for one group, so their majorities do not
// intersect. Only one of them may be granted the same key.
func TestMajoritiesOfDifferentMembersNeverBothGrant(t *testing.T) {
	g := NewWithT(t)
	cluster := newSixDomains(t)
	for _, d := range cluster.Daemons {
		d.Settings.LedgerShards = nil
		g.Expect(cluster.WriteSettings(d.Name)).To(Succeed())
	}
	g.Expect(cluster.Start()).To(Succeed())
	g.Expect(testcluster.Eventually(func() error { return claimGranted(shardClaimer(cluster, nil), customerKey("first")) })).To(Succeed())
	granted := 0
	for _, instances := range twoShards {
		members := quorum.Members{Domain: "pwani-a"}
		for _, name := range instances {
			members.Fleet = append(members.Fleet, quorum.Member{Instance: name, Address: cluster.Daemons[name].Settings.Listen.Peers})
		}
		if claimHeldKey(quorum.New(members), customerKey("charge")).Verdict == ledger.VerdictGranted {
			granted++
		}
	}
	g.Expect(granted).To(Equal(1), "the replicas' own member list decides")
}

// One replica starts with settings that name other shards. No shard may form until
// its settings match those of the others.
func TestShardsFormOnlyWhenAllReplicasAgree(t *testing.T) {
	g := NewWithT(t)
	cluster := newSixDomains(t)
	other := cluster.Daemons["l-6"]
	other.Settings.LedgerShards = [][]string{{"l-4", "l-5", "l-6"}}
	g.Expect(cluster.WriteSettings("l-6")).To(Succeed())
	g.Expect(cluster.Start()).To(Succeed())
	for _, d := range cluster.Daemons {
		g.Expect(d.WaitReady()).To(Succeed())
	}
	for _, shards := range [][][]string{twoShards, other.Settings.LedgerShards} {
		_, decision := claim(shardClaimer(cluster, shards), keyInShard(0, 1))
		g.Expect(decision.Verdict).To(Equal(ledger.VerdictUnavailable))
	}
	g.Expect(other.Kill()).To(Succeed())
	other.Settings.LedgerShards = twoShards
	g.Expect(cluster.WriteSettings("l-6")).To(Succeed())
	g.Expect(other.Start()).To(Succeed())
	c := shardClaimer(cluster, twoShards)
	for shard := range twoShards {
		g.Expect(testcluster.Eventually(func() error { return claimGranted(c, keyInShard(shard, 2)) })).To(Succeed())
	}
}

// A replica of a formed group restarts with settings for another number of shards.
// It must refuse to start, since keys would move between shards and lose their claims.
func TestFormedLedgerRefusesDifferentShardCount(t *testing.T) {
	g := NewWithT(t)
	cluster := newSixDomains(t)
	g.Expect(cluster.Start()).To(Succeed())
	g.Expect(testcluster.Eventually(func() error { return claimGranted(shardClaimer(cluster, twoShards), keyInShard(0, 0)) })).To(Succeed())
	d := cluster.Daemons["l-1"]
	g.Expect(d.Kill()).To(Succeed())
	for _, shards := range [][][]string{nil, twoShards[:1]} {
		d.Settings.LedgerShards = shards
		g.Expect(cluster.WriteSettings("l-1")).To(Succeed())
		out, code := testcluster.RunCommand("serve", "-settings", settingsFile(cluster, "l-1"))
		g.Expect(code).To(Equal(api.ExitRefused), out)
		g.Expect(out).To(ContainSubstring("ledger_view_differs"))
	}
}

// The release and completion of a key must go to the key's shard.
func TestShardedKeysAreReleasedAndCompleted(t *testing.T) {
	g := NewWithT(t)
	cluster := newSixDomains(t)
	g.Expect(cluster.Start()).To(Succeed())
	c := shardClaimer(cluster, twoShards)
	ctx := context.Background()
	for shard := range twoShards {
		key := keyInShard(shard, 1)
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
		_, decision = claim(shardClaimer(cluster, twoShards), key)
		g.Expect(decision.Verdict).To(Equal(ledger.VerdictCompleted))
	}
}
