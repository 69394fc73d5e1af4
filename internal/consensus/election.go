package consensus

// voteRetryTicks is the time after which a campaign asks again for the votes that it
// lacks: after a restart of the whole group the first question meets replicas that do
// not listen yet, and an election timeout is 15 ticks and more.
const voteRetryTicks = 2

func (r *Replica) becomeFollower(term uint64, leader ReplicaID) {
	if term > r.term {
		r.term = term
		r.vote = 0
	}
	r.role = RoleFollower
	r.leader = leader
	r.progress = nil
	r.reads = readQueue{}
	r.resetElection()
}

func (r *Replica) resetElection() {
	r.electionElapsed = 0
	r.electionTimeout = r.config.ElectionTicks + r.config.Rand.IntN(r.config.ElectionTicks)
}

// campaign asks for votes. A pre-candidate only asks whether it would get them
// and keeps its term, so that a replica without a majority disturbs nobody.
func (r *Replica) campaign(role Role) {
	r.role = role
	r.leader = 0
	r.resetElection()
	r.votes = map[ReplicaID]bool{r.config.ID: true}
	if role == RoleCandidate {
		r.term++
		r.vote = r.config.ID
	}
	if !r.countVotes() {
		r.askForVotes()
	}
}

// HastenElection lets a replica that has just started ask for votes with its next tick.
// A group that was stopped as a whole has no leader to wait for, and where there is one
// the others refuse to vote, because they hear it.
func (r *Replica) HastenElection() { r.electionElapsed = r.electionTimeout - 1 }

// askForVotes asks the voters that have not answered in this round. A repeated
// question changes nothing: a replica answers it as it did before.
func (r *Replica) askForVotes() {
	request := Message{Type: MessagePreVote, Term: r.term + 1}
	if r.role == RoleCandidate {
		request = Message{Type: MessageVote, Term: r.term}
	}
	request.LogIndex, request.LogTerm = r.log.lastIndex(), r.log.lastTerm()
	for _, id := range r.log.membership.Voters() {
		if _, answered := r.votes[id]; !answered {
			request.To = id
			r.send(request)
		}
	}
}

// isCampaigning reports whether the replica waits for votes.
func (r *Replica) isCampaigning() bool {
	return r.role == RolePreCandidate || r.role == RoleCandidate
}

func (r *Replica) handleVote(m Message) {
	isPre := m.Type == MessagePreVote
	free := r.vote == 0 && r.leader == 0
	grant := (free || r.vote == m.From || (isPre && m.Term > r.term)) && r.log.isUpToDate(m.LogIndex, m.LogTerm)
	if isPre && r.goesFirst(m) {
		grant = false
	}
	response := Message{Type: MessageVoteResponse, To: m.From, Reject: !grant}
	if isPre {
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

// goesFirst reports whether this replica campaigns itself and goes before another
// one with an equal log. Of two replicas that ask at the same moment, as after a
// restart of all, one would otherwise take the other's vote for the next term.
func (r *Replica) goesFirst(m Message) bool {
	return r.role == RolePreCandidate && m.Term == r.term+1 && r.config.ID > m.From &&
		m.LogIndex == r.log.lastIndex() && m.LogTerm == r.log.lastTerm()
}

// handleVoteResponse counts an answer for a replica that plays the given role.
func (r *Replica) handleVoteResponse(m Message, role Role) {
	wanted := r.term
	if role == RolePreCandidate && !m.Reject {
		wanted = r.term + 1
	}
	if r.role != role || m.Term != wanted {
		return
	}
	r.votes[m.From] = !m.Reject
	r.countVotes()
}

// countVotes moves on where the votes decide the round, and reports whether they do.
func (r *Replica) countVotes() bool {
	voters := r.log.membership.Voters()
	granted, refused := 0, 0
	for _, id := range voters {
		vote, answered := r.votes[id]
		switch {
		case answered && vote:
			granted++
		case answered:
			refused++
		}
	}
	if granted >= majority(len(voters)) {
		r.winRound()
		return true
	}
	if refused >= majority(len(voters)) {
		r.becomeFollower(r.term, 0)
		return true
	}
	return false
}

func (r *Replica) winRound() {
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
	r.trackMembers()
	// Entries of earlier terms become committed only with one of this term.
	r.appendOwn(Entry{Type: EntryNoOp})
}
