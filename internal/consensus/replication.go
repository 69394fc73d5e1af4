package consensus

import "slices"

// Propose appends a command to the log. It returns the index and term at which the
// command is committed unless the leader changes before, or ErrNotLeader.
func (r *Replica) Propose(data []byte) (index, term uint64, err error) {
	if r.role != RoleLeader {
		return 0, 0, ErrNotLeader
	}
	return r.appendAsLeader(Entry{Type: EntryCommand, Data: data}), r.term, nil
}

// appendAsLeader appends an entry in the leader's term and sends it to the other
// members. It returns the entry's index.
func (r *Replica) appendAsLeader(entry Entry) uint64 {
	entry.Index = r.log.lastIndex() + 1
	entry.Term = r.term
	r.log.append(entry)
	if entry.Type == EntryMembership {
		r.updateProgress()
	}
	r.broadcastAppend()
	r.advanceCommit()
	return entry.Index
}

// peers returns the IDs of the other members in ascending order.
func (r *Replica) peers() []ReplicaID {
	var out []ReplicaID
	for _, member := range r.log.membership.Members {
		if member.ID != r.config.ID {
			out = append(out, member.ID)
		}
	}
	return out
}

// broadcastAppend sends an append to each peer whose log position is confirmed.
func (r *Replica) broadcastAppend() {
	for _, id := range r.peers() {
		if !r.progress[id].probing {
			r.sendAppend(id)
		}
	}
}

// sendAppend sends the entries that a replica lacks, or a snapshot if the log no longer
// holds them.
func (r *Replica) sendAppend(to ReplicaID) {
	p := r.progress[to]
	if p.snapshotRetryTicks > 0 {
		return
	}
	term, ok := r.log.term(p.next - 1)
	if !ok {
		snapshot := r.snapshot
		p.snapshotRetryTicks = r.config.ElectionTicks
		r.send(Message{Type: MessageSnapshot, To: to, Snapshot: &snapshot})
		return
	}
	entries := r.log.slice(p.next, r.config.MaxMessageBytes)
	r.send(Message{
		Type: MessageAppend, To: to, LogIndex: p.next - 1, LogTerm: term,
		Entries: entries, Commit: r.commit,
	})
	if !p.probing {
		p.next += uint64(len(entries))
	}
}

// broadcastHeartbeat sends a heartbeat to each peer. Its commit index does not exceed
// the peer's match index: the entries above that may differ from the leader's.
func (r *Replica) broadcastHeartbeat() {
	r.heartbeatElapsed = 0
	for _, id := range r.peers() {
		commit := min(r.progress[id].match, r.commit)
		r.send(Message{Type: MessageHeartbeat, To: id, Commit: commit, ReadSequence: r.reads.sequence})
	}
}

func (r *Replica) handleAppend(m Message) {
	response := Message{Type: MessageAppendResponse, To: m.From, LogIndex: r.commit, Commit: r.commit}
	if m.LogIndex < r.commit {
		r.send(response)
		return
	}
	if term, ok := r.log.term(m.LogIndex); !ok || term != m.LogTerm {
		response.Reject = true
		response.LogIndex = m.LogIndex
		response.Hint = r.log.lastIndexUpToTerm(m.LogIndex, m.LogTerm)
		r.send(response)
		return
	}
	r.appendMissing(m.Entries)
	last := m.LogIndex + uint64(len(m.Entries))
	r.commitTo(min(m.Commit, last))
	response.LogIndex, response.Commit = last, r.commit
	r.send(response)
}

// appendMissing appends the entries that the log lacks. If the log has an entry with another
// term at an index, appendMissing replaces the log from that index on. It panics if that
// entry is committed.
func (r *Replica) appendMissing(entries []Entry) {
	for i, entry := range entries {
		if term, ok := r.log.term(entry.Index); ok && term == entry.Term {
			continue
		}
		if entry.Index <= r.commit {
			panic("consensus: append would replace a committed entry")
		}
		r.log.append(slices.Clone(entries[i:])...)
		r.stable = min(r.stable, entry.Index-1)
		return
	}
}

// handleSnapshot replaces the log by a snapshot above the commit index. If the log
// already holds the snapshot's last entry, only the commit index is raised.
func (r *Replica) handleSnapshot(m Message) {
	snapshot := m.Snapshot
	term, ok := r.log.term(snapshot.Index)
	if ok && term == snapshot.Term {
		r.commitTo(snapshot.Index)
	}
	if snapshot.Index > r.commit {
		r.log = newEntryLog(withoutData(*snapshot), nil)
		r.snapshot = withoutData(*snapshot)
		r.commit, r.applied, r.stable = snapshot.Index, snapshot.Index, snapshot.Index
		r.receivedSnapshot = snapshot
	}
	r.send(Message{Type: MessageAppendResponse, To: m.From, LogIndex: r.commit, Commit: r.commit})
}

func (r *Replica) handleAppendResponse(m Message) {
	p := r.progress[m.From]
	if r.role != RoleLeader || p == nil {
		return
	}
	p.ticksSinceResponse = 0
	if m.Reject {
		r.handleAppendRejection(p, m)
		return
	}
	p.probing = false
	p.snapshotRetryTicks = 0
	advanced := m.LogIndex > p.match || m.Commit > p.commit
	p.match, p.commit = max(p.match, m.LogIndex), max(p.commit, m.Commit)
	p.next = max(p.next, p.match+1)
	if advanced {
		r.advanceCommit()
	}
	if r.role == RoleLeader && p.next <= r.log.lastIndex() {
		r.sendAppend(m.From)
	}
}

// handleAppendRejection moves next back to the entry after the follower's hint and probes
// there.
func (r *Replica) handleAppendRejection(p *progress, m Message) {
	if m.LogIndex >= p.next {
		return // stale response to an earlier append
	}
	p.probing = true
	// If the replica lost entries that it had confirmed, its log ends below match.
	p.match = min(p.match, m.Hint)
	p.next = max(min(m.LogIndex, m.Hint+1), p.match+1)
	r.sendAppend(m.From)
}

func (r *Replica) handleHeartbeatResponse(m Message) {
	p := r.progress[m.From]
	if r.role != RoleLeader || p == nil {
		return
	}
	p.ticksSinceResponse = 0
	p.readAck, p.commit = max(p.readAck, m.ReadSequence), max(p.commit, m.Commit)
	if m.LogIndex < p.match {
		// The replica lost confirmed entries at the end of its log.
		p.match, p.next, p.probing = m.LogIndex, m.LogIndex+1, true
	}
	if p.match < r.log.lastIndex() {
		r.sendAppend(m.From)
	}
	r.advanceCommit()
	if r.role == RoleLeader {
		r.confirmReads()
	}
}

// advanceCommit raises the commit index to the highest index that a quorum holds. Only an
// entry of the leader's own term is committed by counting replicas; earlier entries are
// committed with it. The leader steps down once a membership in which it has no vote is committed; a
// learner that leads because a disk was lost goes on.
func (r *Replica) advanceCommit() {
	index := min(r.quorumValue(r.log.lastIndex(), func(p *progress) uint64 { return p.match }), r.commitLimit())
	if index <= r.commit {
		return
	}
	if term, _ := r.log.term(index); term != r.term {
		return
	}
	r.commitTo(index)
	r.startDeferredReads()
	isDeposed := !r.log.membership.IsVoter(r.config.ID) && r.survivor() == 0
	if isDeposed && r.log.membershipIndex <= r.commit {
		r.broadcastAppend()
		r.becomeFollower(r.term, 0)
		return
	}
	r.broadcastAppend()
}

func (r *Replica) commitTo(index uint64) { r.commit = max(r.commit, index) }
