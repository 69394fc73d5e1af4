package replica

import (
	"testing"
	"time"
)

// TestFollowerCatchesUpWithLeaderThatCouldNotWriteSnapshot guards against a leader that drops entries
// of which it has no durable snapshot: a follower that lacks them never catches up.
func TestFollowerCatchesUpWithLeaderThatCouldNotWriteSnapshot(t *testing.T) {
	members := startGroup(t, 3)
	leader, behind, other := members[0], members[1], members[2]
	resume := behind.block()
	time.Sleep(inactivityDuration)
	accept := leader.refuseFile(snapshotFile)
	leader.proposeUntilLogIsTooLarge()
	accept()
	resume()
	resumeOther := other.block()
	defer resumeOther()
	behind.expectCount(leader.propose(1))
}
