package replica

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestFollowerCatchesUpWithLeaderThatCouldNotWriteSnapshot guards against a leader that drops entries
// of which it has no durable snapshot: a follower that lacks them never catches up.
func TestFollowerCatchesUpWithLeaderThatCouldNotWriteSnapshot(t *testing.T) {
	members := startGroup(t, 3)
	leader, behind, other := members[0], members[1], members[2]
	resume := behind.block(t)
	time.Sleep(inactivityDuration)
	accept := leader.refuseFile(snapshotFile)
	leader.proposeUntilLogIsTooLarge()
	accept()
	resume()
	other.block(t)
	behind.expectCount(leader.propose(1))
}

// TestReplicaOutlastsFullDiskWhileItReceivesSnapshot guards against a replica that ends because its
// disk refuses the snapshot or the log of a leader, or stays behind after the disk has room again.
func TestReplicaOutlastsFullDiskWhileItReceivesSnapshot(t *testing.T) {
	for _, file := range []string{snapshotFile, logFile} {
		t.Run(file, func(t *testing.T) {
			members := startGroup(t, 3)
			leader, behind := members[0], members[1]
			resume := behind.block(t)
			time.Sleep(inactivityDuration)
			leader.proposeUntilLogIsTooLarge()
			accept := behind.refuseFile(file)
			resume()
			leader.g.Consistently(behind.ended, inactivityDuration).ShouldNot(Receive())
			accept()
			behind.expectCount(leader.propose(1))
		})
	}
}

// TestReplicaStartsWithFullDisk guards against a replica that ends because its disk refuses the files
// with which it forms a group.
func TestReplicaStartsWithFullDisk(t *testing.T) {
	for _, file := range []string{identityFile, logFile} {
		t.Run(file, func(t *testing.T) {
			peers, listeners := newPeers(t, 3)
			var members []*member
			for i := range listeners {
				members = append(members, newMember(t, peers, i))
			}
			accept := members[0].refuseFile(file)
			for i, m := range members {
				m.start(t, listeners[i])
			}
			members[0].g.Consistently(members[0].ended, inactivityDuration).ShouldNot(Receive())
			accept()
			for _, m := range members {
				m.g.Eventually(m.CheckReady, formTimeout).Should(Succeed())
			}
			members[0].propose(1)
		})
	}
}
