package configfaults

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/internal/testcluster"
)

const fiveReplicas = 5

// TestFiveReplicasSurviveTwoDisksLostAtOnce loses two of five disks at once, one of them the
// leader's, while operators write concurrently. As soon as a learner that replaces one of the
// two is ready, a third disk is lost. If a learner counted as ready before it votes, the third
// loss would cost the majority.
func TestFiveReplicasSurviveTwoDisksLostAtOnce(t *testing.T) {
	t.Parallel()
	g := deployControls(t, fiveReplicas, 2)
	runRace(g, func(r *race) {
		time.Sleep(healthyDuration)
		leader, others := g.leader(), g.followers()
		first, second, third := leader, others[0], others[1]
		g.killAndRemoveDataDirs(first, second)
		g.expectWritesSucceed("two-lost", others[1:]...)

		g.Expect(g.cluster.Daemons[first].Start()).To(Succeed())
		g.awaitReady(first)
		g.killAndRemoveDataDirs(third)
		g.expectWritesSucceed("third-lost", first, others[2], others[3])

		for _, name := range []string{second, third} {
			g.Expect(g.cluster.Daemons[name].Start()).To(Succeed())
		}
		g.awaitReady(g.controls...)
	})
	g.awaitVoters(fiveReplicas)
}

// TestFiveReplicasStayLinearizableUnderTwoFaults injects two faults at a time on different
// replicas of five while operators write concurrently.
func TestFiveReplicasStayLinearizableUnderTwoFaults(t *testing.T) {
	t.Parallel()
	g := deployControls(t, fiveReplicas, 2)
	runRace(g, func(r *race) {
		random := rand.New(rand.NewPCG(*seedFlag, fiveReplicas))
		for round := range *roundsFlag / 2 {
			time.Sleep(healthyDuration)
			r.injectTwoFaults(random, round)
		}
	})
	g.awaitVoters(fiveReplicas)
}

// injectTwoFaults suspends, kills or isolates two replicas for faultDuration. One of them is
// often the leader.
func (r *race) injectTwoFaults(random *rand.Rand, round int) {
	order := random.Perm(len(r.controls))
	first, second := r.controls[order[0]], r.controls[order[1]]
	if leader := r.leader(); second != leader && random.IntN(2) == 0 {
		first = leader
	}
	r.t.Logf("faults of round %d at %s and %s", round, first, second)
	switch round % 3 {
	case 0:
		r.Expect(r.cluster.Daemons[first].Kill()).To(Succeed())
		r.setOutgoingLinks(second, testcluster.Blackhole)
		time.Sleep(faultDuration)
		r.setOutgoingLinks(second, testcluster.Forward)
		r.Expect(r.cluster.Daemons[first].Start()).To(Succeed())
	case 1:
		r.Expect(r.cluster.Daemons[first].Suspend()).To(Succeed())
		r.Expect(r.cluster.Daemons[second].Kill()).To(Succeed())
		time.Sleep(faultDuration)
		r.Expect(r.cluster.Daemons[second].Start()).To(Succeed())
		r.Expect(r.cluster.Daemons[first].Resume()).To(Succeed())
	case 2:
		r.cluster.Isolate(first, testcluster.Blackhole)
		r.cluster.Isolate(second, testcluster.Refuse)
		time.Sleep(faultDuration)
		r.cluster.Isolate(second, testcluster.Forward)
		r.cluster.Isolate(first, testcluster.Forward)
	}
	r.awaitReady(r.controls...)
}

// killAndRemoveDataDirs kills the named instances and removes their data directories.
func (g *group) killAndRemoveDataDirs(names ...string) {
	g.t.Helper()
	for _, name := range names {
		g.Expect(g.cluster.Daemons[name].Kill()).To(Succeed())
	}
	for _, name := range names {
		g.Expect(g.cluster.RemoveDataDir(name)).To(Succeed())
	}
}

// expectWritesSucceed writes new pools through the named instances and checks that later
// reads return at least the revision of each write.
func (g *group) expectWritesSucceed(prefix string, names ...string) {
	g.t.Helper()
	client := g.client(names...)
	for i := range len(names) {
		name := fmt.Sprint(prefix, "-", i)
		stored := g.putPool(client, poolResource(name, 2), "")
		g.Expect(g.listPools(client).Revision).To(BeNumerically(">=", stored.ResourceVersion))
	}
}

// awaitVoters waits until the group has count voters and no learner.
func (g *group) awaitVoters(count int) {
	g.t.Helper()
	g.Eventually(func() int {
		status, err := g.status(g.leader())
		if err != nil || len(status.Replicas) != count {
			return 0
		}
		voters := 0
		for _, replica := range status.Replicas {
			if !replica.Learner {
				voters++
			}
		}
		return voters
	}, waitTimeout, "50ms").Should(Equal(count))
}
