package consensus

// readQueue holds the reads for which a majority has not yet acknowledged a heartbeat.
type readQueue struct {
	// sequence is the sequence number of the newest read of the term.
	sequence uint64
	// deferred holds the contexts of reads that arrived before the leader committed an
	// entry of its term.
	deferred []uint64
	// pending is in ascending order of sequence numbers.
	pending []pendingRead
}

// pendingRead is a read at a commit index that awaits confirmation by a majority.
type pendingRead struct {
	context  uint64
	index    uint64
	sequence uint64
}

// ReadIndex requests a read state with the given context. Ready returns it once a
// majority has confirmed that this replica is still the leader. If the replica loses
// its leadership before that, the read is dropped without a result.
func (r *Replica) ReadIndex(context uint64) error {
	if r.role != RoleLeader {
		return ErrNotLeader
	}
	if !r.hasCommittedInTerm() {
		r.reads.deferred = append(r.reads.deferred, context)
		return nil
	}
	r.startRead(context)
	r.broadcastHeartbeat()
	r.confirmReads()
	return nil
}

// hasCommittedInTerm reports whether an entry of the current term is committed.
func (r *Replica) hasCommittedInTerm() bool {
	term, ok := r.log.term(r.commit)
	return ok && term == r.term
}

// startRead queues a read at the current commit index.
func (r *Replica) startRead(context uint64) {
	r.reads.sequence++
	r.reads.pending = append(r.reads.pending, pendingRead{context: context, index: r.commit, sequence: r.reads.sequence})
}

// startDeferredReads starts the reads that were deferred until the first commit of the
// term.
func (r *Replica) startDeferredReads() {
	if len(r.reads.deferred) == 0 {
		return
	}
	for _, context := range r.reads.deferred {
		r.startRead(context)
	}
	r.reads.deferred = nil
	r.broadcastHeartbeat()
	r.confirmReads()
}

// confirmReads completes the reads that a majority has acknowledged.
func (r *Replica) confirmReads() {
	acknowledged := r.quorumValue(r.reads.sequence, func(p *progress) uint64 { return p.readAck })
	for len(r.reads.pending) > 0 && r.reads.pending[0].sequence <= acknowledged {
		read := r.reads.pending[0]
		r.reads.pending = r.reads.pending[1:]
		r.readStates = append(r.readStates, ReadState{Context: read.context, Index: read.index})
	}
}
