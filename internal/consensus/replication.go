package consensus

import "slices"

// Propose appends a command to the log. It returns the index and term at
// which the command will be committed if this leader stays.
func (r *Replica) Propose(data []byte) (index, term uint64, err error) {
	if r.role != RoleLeader {
		return 0, 0, ErrNotLeader
	}
	return r.appendOwn(Entry{Type: EntryCommand, Data: data}), r.term, nil
}

// appendOwn appends an entry of the leader's term and sends it.
func (r *Replica) appendOwn(entry Entry) uint64 {
	entry.Index = r.log.lastIndex() + 1
	entry.Term = r.term
	r.log.append(entry)
	if entry.Type == EntryMembership {
		r.trackMembers()
	}
	r.broadcastAppend()
	r.advanceCommit()
	return entry.Index
}

// others returns the other members in ascending order.
func (r *Replica) others() []ReplicaID {
	var out []ReplicaID
	for _, member := range r.log.membership.Members {
		if member.ID != r.config.ID {
			out = append(out, member.ID)
		}
	}
	return out
}

func (r *Replica) broadcastAppend() {
	for _, id := range r.others() {
		if !r.progress[id].probing {
			r.sendAppend(id)
		}
	}
}

// sendAppend sends the entries that a replica lacks, or a snapshot where the
// log no longer has them.
func (r *Replica) sendAppend(to ReplicaID) {
	p := r.progress[to]
	if p.snapshotTicks > 0 {
		return
	}
	term, ok := r.log.term(p.next - 1)
	if !ok {
		snapshot := r.snapshot
		p.snapshotTicks = r.config.ElectionTicks
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

func (r *Replica) broadcastHeartbeat() {
	r.heartbeatElapsed = 0
	for _, id := range r.others() {
		commit := min(r.progress[id].match, r.commit)
		r.send(Message{Type: MessageHeartbeat, To: id, Commit: commit, ReadSequence: r.reads.sequence})
	}
}

func (r *Replica) handleAppend(m Message) {
	response := Message{Type: MessageAppendResponse, To: m.From, LogIndex: r.commit}
	if m.LogIndex < r.commit {
		r.send(response)
		return
	}
	if term, ok := r.log.term(m.LogIndex); !ok || term != m.LogTerm {
		response.Reject = true
		response.LogIndex = m.LogIndex
		response.Hint = r.log.lastAtMost(m.LogIndex, m.LogTerm)
		r.send(response)
		return
	}
	r.appendMissing(m.Entries)
	last := m.LogIndex + uint64(len(m.Entries))
	r.commitTo(min(m.Commit, last))
	response.LogIndex = last
	r.send(response)
}

// appendMissing replaces the log from the first entry on that differs.
func (r *Replica) appendMissing(entries []Entry) {
	for i, entry := range entries {
		if term, ok := r.log.term(entry.Index); ok && term == entry.Term {
			continue
		}
		if entry.Index <= r.commit {
			panic("consensus: a committed entry would be replaced")
		}
		r.log.append(slices.Clone(entries[i:])...)
		r.stable = min(r.stable, entry.Index-1)
		return
	}
}

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
		r.restored = snapshot
	}
	r.send(Message{Type: MessageAppendResponse, To: m.From, LogIndex: r.commit})
}

func (r *Replica) handleAppendResponse(m Message) {
	p := r.progress[m.From]
	if r.role != RoleLeader || p == nil {
		return
	}
	p.silentTicks = 0
	if m.Reject {
		r.handleRefusal(p, m)
		return
	}
	p.probing = false
	p.snapshotTicks = 0
	advanced := m.LogIndex > p.match
	p.match = max(p.match, m.LogIndex)
	p.next = max(p.next, p.match+1)
	if advanced {
		r.advanceCommit()
	}
	if r.role == RoleLeader && p.next <= r.log.lastIndex() {
		r.sendAppend(m.From)
	}
}

func (r *Replica) handleRefusal(p *progress, m Message) {
	if m.LogIndex >= p.next {
		return // an answer to an earlier message
	}
	p.probing = true
	// Where the replica lost what it had confirmed, its log ends below the match.
	p.match = min(p.match, m.Hint)
	p.next = max(min(m.LogIndex, m.Hint+1), p.match+1)
	r.sendAppend(m.From)
}

func (r *Replica) handleHeartbeatResponse(m Message) {
	p := r.progress[m.From]
	if r.role != RoleLeader || p == nil {
		return
	}
	p.silentTicks = 0
	p.readAck = max(p.readAck, m.ReadSequence)
	if m.LogIndex < p.match {
		// The replica lost the end of its log, although it had confirmed it.
		p.match, p.next, p.probing = m.LogIndex, m.LogIndex+1, true
	}
	if p.match < r.log.lastIndex() {
		r.sendAppend(m.From)
	}
	r.confirmReads()
}

// quorumValue returns the highest value that a majority of the voters has reached.
func (r *Replica) quorumValue(own uint64, of func(*progress) uint64) uint64 {
	voters := r.log.membership.Voters()
	values := make([]uint64, 0, len(voters))
	for _, id := range voters {
		if id == r.config.ID {
			values = append(values, own)
			continue
		}
		values = append(values, of(r.progress[id]))
	}
	slices.Sort(values)
	return values[len(values)-majority(len(values))]
}

// advanceCommit commits what a majority has. Only an entry of the leader's own
// term is committed by counting; those before it are committed with it.
func (r *Replica) advanceCommit() {
	index := r.quorumValue(r.log.lastIndex(), func(p *progress) uint64 { return p.match })
	if index <= r.commit {
		return
	}
	if term, _ := r.log.term(index); term != r.term {
		return
	}
	r.commitTo(index)
	r.settleReads()
	if !r.log.membership.IsVoter(r.config.ID) && r.log.membershipIndex <= r.commit {
		r.broadcastAppend()
		r.becomeFollower(r.term, 0)
		return
	}
	r.broadcastAppend()
}

func (r *Replica) commitTo(index uint64) { r.commit = max(r.commit, index) }
