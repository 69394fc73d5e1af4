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

// TestFiveReplicasLoseTwoAtOnce loses two of five disks at once, the leader's
// among them, while operators race. A learner replaces one, and as soon as that
// is reported done a third disk is lost.
func TestFiveReplicasLoseTwoAtOnce(t *testing.T) {
	t.Parallel()
	g := deployGroup(t, fiveReplicas, 2)
	runRace(g, func(r *race) {
		time.Sleep(healthyTime)
		leader, others := g.leader(), g.followers()
		first, second, third := leader, others[0], others[1]
		g.killAndLose(first, second)
		g.goesOn("two-lost", others[1:]...)

		g.Expect(g.bed.Daemons[first].Start()).To(Succeed())
		g.ready(first)
		g.killAndLose(third)
		g.goesOn("third-lost", first, others[2], others[3])

		for _, name := range []string{second, third} {
			g.Expect(g.bed.Daemons[name].Start()).To(Succeed())
		}
		g.ready(g.controls...)
	})
	g.hasVoters(fiveReplicas)
}

// TestFiveReplicasUnderTwoFaults brings two faults at a time about on different
// replicas of five while operators race.
func TestFiveReplicasUnderTwoFaults(t *testing.T) {
	t.Parallel()
	g := deployGroup(t, fiveReplicas, 2)
	runRace(g, func(r *race) {
		random := rand.New(rand.NewPCG(*seedFlag, fiveReplicas))
		for round := range *roundsFlag / 2 {
			time.Sleep(healthyTime)
			r.twoFaults(random, round)
		}
	})
	g.hasVoters(fiveReplicas)
}

// twoFaults freezes, kills or cuts off two replicas for a while, often the
// leader among them.
func (r *race) twoFaults(random *rand.Rand, round int) {
	order := random.Perm(len(r.controls))
	one, other := r.controls[order[0]], r.controls[order[1]]
	if leader := r.leader(); other != leader && random.IntN(2) == 0 {
		one = leader
	}
	r.t.Logf("faults of round %d at %s and %s", round, one, other)
	switch round % 3 {
	case 0:
		r.Expect(r.bed.Daemons[one].Kill()).To(Succeed())
		r.silence(other, testcluster.Blackhole)
		time.Sleep(faultTime)
		r.silence(other, testcluster.Forward)
		r.Expect(r.bed.Daemons[one].Start()).To(Succeed())
	case 1:
		r.Expect(r.bed.Daemons[one].Freeze()).To(Succeed())
		r.Expect(r.bed.Daemons[other].Kill()).To(Succeed())
		time.Sleep(faultTime)
		r.Expect(r.bed.Daemons[other].Start()).To(Succeed())
		r.Expect(r.bed.Daemons[one].Thaw()).To(Succeed())
	case 2:
		r.bed.Isolate(one, testcluster.Blackhole)
		r.bed.Isolate(other, testcluster.Refuse)
		time.Sleep(faultTime)
		r.bed.Isolate(other, testcluster.Forward)
		r.bed.Isolate(one, testcluster.Forward)
	}
	r.ready(r.controls...)
}

// killAndLose kills instances at once and loses their disks.
func (g *group) killAndLose(names ...string) {
	g.t.Helper()
	for _, name := range names {
		g.Expect(g.bed.Daemons[name].Kill()).To(Succeed())
	}
	for _, name := range names {
		g.Expect(g.bed.LoseDisk(name)).To(Succeed())
	}
}

// goesOn writes through the named instances and reads the write back.
func (g *group) goesOn(pools string, names ...string) {
	g.t.Helper()
	client := g.client(names...)
	for i := range len(names) {
		name := fmt.Sprint(pools, "-", i)
		stored := g.put(client, pool(name, 2), "")
		g.Expect(g.list(client).Revision).To(BeNumerically(">=", stored.ResourceVersion))
	}
}

// hasVoters waits until the group has this many voters and no learner.
func (g *group) hasVoters(count int) {
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
	}, patience, "50ms").Should(Equal(count))
}
