package consensus

// voteRetryTicks is the interval in ticks at which a campaign repeats its vote requests
// to voters that have not responded. After a restart of the whole group the first
// requests are lost, because the other replicas do not listen yet; waiting for the
// next campaign would take an election timeout, which is 15 ticks or more.
const voteRetryTicks = 2

// becomeFollower makes the replica a follower in the given term, and clears its vote
// if the term is new. A leader of 0 means that the leader is unknown.
func (r *Replica) becomeFollower(term uint64, leader ReplicaID) {
	if term > r.term {
		r.term = term
		r.vote = 0
	}
	r.role = RoleFollower
	r.leader = leader
	r.progress = nil
	r.reads = readQueue{}
	r.resetElectionTimer()
}

// resetElectionTimer restarts the election timer with a new random timeout.
func (r *Replica) resetElectionTimer() {
	r.electionElapsed = 0
	r.electionTimeout = r.config.ElectionTicks + r.config.Rand.IntN(r.config.ElectionTicks)
}

// campaign starts a pre-vote or an election, depending on role. A pre-candidate keeps
// its term and its vote, so that a replica without a majority does not disrupt the
// group.
func (r *Replica) campaign(role Role) {
	r.role = role
	r.leader = 0
	r.resetElectionTimer()
	r.votes = map[ReplicaID]bool{r.config.ID: true}
	if role == RoleCandidate {
		r.term++
		r.vote = r.config.ID
	}
	if !r.countVotes() {
		r.requestVotes()
	}
}

// CampaignOnNextTick makes a replica that has just started campaign at its next tick.
// After a restart of the whole group there is no leader to wait for; if there is a leader,
// the other replicas do not grant the pre-vote, because they receive its heartbeats.
func (r *Replica) CampaignOnNextTick() { r.electionElapsed = r.electionTimeout - 1 }

// requestVotes sends vote requests to the electors that have not responded in this
// campaign. Repeated requests are idempotent: a replica responds as it did before.
func (r *Replica) requestVotes() {
	request := Message{Type: MessagePreVote, Term: r.term + 1}
	if r.role == RoleCandidate {
		request = Message{Type: MessageVote, Term: r.term}
	}
	request.LogIndex, request.LogTerm = r.log.lastIndex(), r.log.lastTerm()
	electors, _ := r.electors()
	for _, id := range electors {
		if _, responded := r.votes[id]; !responded {
			request.To = id
			r.send(request)
		}
	}
}

// isCampaigning reports whether the replica is a pre-candidate or a candidate.
func (r *Replica) isCampaigning() bool {
	return r.role == RolePreCandidate || r.role == RoleCandidate
}

// handleVoteRequest responds to a vote or pre-vote request. Only a vote in an election is
// recorded and resets the election timer.
func (r *Replica) handleVoteRequest(m Message) {
	isPreVote := m.Type == MessagePreVote
	canVote := r.vote == 0 && r.leader == 0
	grant := (canVote || r.vote == m.From || (isPreVote && m.Term > r.term)) && r.log.isUpToDate(m.LogIndex, m.LogTerm)
	if isPreVote && r.hasPriorityOver(m) {
		grant = false
	}
	response := Message{Type: MessageVoteResponse, To: m.From, Reject: !grant}
	if isPreVote {
		response.Type = MessagePreVoteResponse
		if grant {
			response.Term = m.Term
		}
	} else if grant {
		r.vote = m.From
		r.electionElapsed = 0
	}
	r.send(response)
}

// hasPriorityOver reports whether this replica is a pre-candidate for the same term,
// its log ends like the sender's and its ID is higher. It then rejects the sender's
// pre-vote. Without this rule, two replicas that start a pre-vote at the same time, as
// after a restart of the whole group, would split the vote in the next term.
func (r *Replica) hasPriorityOver(m Message) bool {
	return r.role == RolePreCandidate && m.Term == r.term+1 && r.config.ID > m.From &&
		m.LogIndex == r.log.lastIndex() && m.LogTerm == r.log.lastTerm()
}

// handleVoteResponse counts a vote if the replica has the given role and the response
// belongs to its current campaign.
func (r *Replica) handleVoteResponse(m Message, role Role) {
	expectedTerm := r.term
	if role == RolePreCandidate && !m.Reject {
		expectedTerm = r.term + 1
	}
	if r.role != role || m.Term != expectedTerm {
		return
	}
	r.votes[m.From] = !m.Reject
	r.countVotes()
}

// countVotes counts the votes and reports whether they decide the campaign. If so, it
// moves the replica to its next role.
func (r *Replica) countVotes() bool {
	electors, all := r.electors()
	needed, decisive := majority(len(electors)), majority(len(electors))
	if all {
		needed, decisive = len(electors), 1
	}
	granted, rejected := 0, 0
	for _, id := range electors {
		vote, responded := r.votes[id]
		switch {
		case responded && vote:
			granted++
		case responded:
			rejected++
		}
	}
	if granted >= needed {
		r.winCampaign()
		return true
	}
	if rejected >= decisive {
		r.becomeFollower(r.term, 0)
		return true
	}
	return false
}

// winCampaign makes a pre-candidate a candidate, and a candidate the leader.
func (r *Replica) winCampaign() {
	if r.role == RolePreCandidate {
		r.campaign(RoleCandidate)
		return
	}
	r.becomeLeader()
}

func (r *Replica) becomeLeader() {
	r.role = RoleLeader
	r.leader = r.config.ID
	r.electionElapsed = 0
	r.heartbeatElapsed = 0
	r.reads = readQueue{}
	r.progress = make(map[ReplicaID]*progress)
	r.updateProgress()
	// Entries of earlier terms are committed only together with an entry of this term.
	r.termStart = r.log.lastIndex() + 1
	r.appendAsLeader(Entry{Type: EntryNoOp})
}
