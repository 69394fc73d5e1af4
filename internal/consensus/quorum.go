package consensus

import "slices"

// A group has two voters for a moment whenever a voter is replaced. Both are a majority of it, so
// a lost disk of either one would end the group for good, although the other one holds every
// committed entry. Therefore, once one of two voters is known to have lost its disk, the other one
// is a quorum by itself, and an election is won by a member, voter or learner, for which all members
// vote whose disks are not lost:
//
//   - The lost voter never votes again, and without the surviving one it could have committed
//     entries only together with a learner that it had promoted, since no voter of two is removed.
//     That learner has the entries, and rejects a candidate that lacks them.
//   - The membership with the two voters has to be committed, and the survivor has to know it: the
//     voters before it might have elected another leader. A leader therefore commits nothing beyond
//     that membership before the other voter has confirmed that it knows.

// RecordLostDisks records members whose disks are lost: replicas that do not exist any more, since
// their instances run replicas with other IDs.
func (r *Replica) RecordLostDisks(ids ...ReplicaID) {
	for _, id := range ids {
		if _, isMember := r.log.membership.Find(id); isMember && id != r.config.ID {
			r.lostDisks[id] = true
		}
	}
}

// survivor returns the only voter of two whose disk is not lost, or 0 if there is no such voter in
// the newest membership, or its voters are not known to be committed.
func (r *Replica) survivor() ReplicaID {
	if !slices.Equal(r.log.membershipAt(r.commit).Voters(), r.log.membership.Voters()) {
		return 0
	}
	return r.survivorOf(r.log.membership)
}

// survivorOf is survivor for a membership that is known to be committed.
func (r *Replica) survivorOf(membership Membership) ReplicaID {
	voters := membership.Voters()
	if len(voters) != 2 || r.lostDisks[voters[0]] == r.lostDisks[voters[1]] {
		return 0
	}
	if r.lostDisks[voters[0]] {
		return voters[1]
	}
	return voters[0]
}

func majority(voters int) int { return voters/2 + 1 }

// isQuorum reports whether the voters that agree are a quorum.
func (r *Replica) isQuorum(agrees func(ReplicaID) bool) bool {
	agreeing := 0
	voters := r.log.membership.Voters()
	for _, id := range voters {
		if agrees(id) {
			agreeing++
		}
	}
	if agreeing >= majority(len(voters)) {
		return true
	}
	survivor := r.survivor()
	return survivor != 0 && agrees(survivor)
}

// electors returns the members that vote and may campaign, and whether a candidate needs the votes
// of all of them.
func (r *Replica) electors() (ids []ReplicaID, all bool) {
	if r.survivor() == 0 {
		return r.log.membership.Voters(), false
	}
	for _, member := range r.log.membership.Members {
		if !r.lostDisks[member.ID] {
			ids = append(ids, member.ID)
		}
	}
	return ids, true
}

// quorumValue returns the highest value that a quorum has reached. own is the leader's value; get
// returns that of another replica.
func (r *Replica) quorumValue(own uint64, get func(*progress) uint64) uint64 {
	valueOf := func(id ReplicaID) uint64 {
		if id == r.config.ID {
			return own
		}
		return get(r.progress[id])
	}
	if survivor := r.survivor(); survivor != 0 {
		return valueOf(survivor)
	}
	voters := r.log.membership.Voters()
	values := make([]uint64, 0, len(voters))
	for _, id := range voters {
		values = append(values, valueOf(id))
	}
	slices.Sort(values)
	return values[len(values)-majority(len(values))]
}

// commitLimit returns the highest index that may be committed: that of the membership or of the
// leader's first entry while one of two voters may not know yet that the membership is committed.
func (r *Replica) commitLimit() uint64 {
	voters := r.log.membership.Voters()
	if len(voters) != 2 || r.survivor() != 0 {
		return r.log.lastIndex()
	}
	for _, id := range voters {
		if id != r.config.ID && r.progress[id].commit < r.log.membershipIndex {
			return max(r.log.membershipIndex, r.termStart)
		}
	}
	return r.log.lastIndex()
}
