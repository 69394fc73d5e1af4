package consensus

// readQueue holds the reads that wait for a majority's heartbeats.
type readQueue struct {
	// sequence numbers the reads of a term.
	sequence uint64
	// unsettled reads wait for the first commit of the term.
	unsettled []uint64
	waiting   []waitingRead
}

type waitingRead struct {
	context  uint64
	index    uint64
	sequence uint64
}

// ReadIndex asks for a read state with the given context. It comes once a
// majority has confirmed that this replica still leads; a replica that stops
// leading before drops the read.
func (r *Replica) ReadIndex(context uint64) error {
	if r.role != RoleLeader {
		return ErrNotLeader
	}
	if !r.isTermSettled() {
		r.reads.unsettled = append(r.reads.unsettled, context)
		return nil
	}
	r.startRead(context)
	r.broadcastHeartbeat()
	r.confirmReads()
	return nil
}

// isTermSettled reports whether an entry of the leader's term is committed.
func (r *Replica) isTermSettled() bool {
	term, ok := r.log.term(r.commit)
	return ok && term == r.term
}

func (r *Replica) startRead(context uint64) {
	r.reads.sequence++
	r.reads.waiting = append(r.reads.waiting, waitingRead{context: context, index: r.commit, sequence: r.reads.sequence})
}

func (r *Replica) settleReads() {
	if len(r.reads.unsettled) == 0 {
		return
	}
	for _, context := range r.reads.unsettled {
		r.startRead(context)
	}
	r.reads.unsettled = nil
	r.broadcastHeartbeat()
	r.confirmReads()
}

func (r *Replica) confirmReads() {
	confirmed := r.quorumValue(r.reads.sequence, func(p *progress) uint64 { return p.readAck })
	for len(r.reads.waiting) > 0 && r.reads.waiting[0].sequence <= confirmed {
		read := r.reads.waiting[0]
		r.reads.waiting = r.reads.waiting[1:]
		r.confirmed = append(r.confirmed, ReadState{Context: read.context, Index: read.index})
	}
}
