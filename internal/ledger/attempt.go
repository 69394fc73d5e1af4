package ledger

import "slices"

// Outcome is the result of an attempt so far.
type Outcome int

// Outcomes of an attempt.
const (
	// OutcomePending means that outstanding replies can still complete a majority.
	OutcomePending Outcome = iota
	// OutcomeGranted means that a majority granted in the same epoch.
	OutcomeGranted
	// OutcomeCompleted means that an earlier attempt has finished.
	OutcomeCompleted
	// OutcomeRetry means that no competing attempt is ahead: the attempt keeps its
	// grants and retries.
	OutcomeRetry
	// OutcomeRelease means that the attempt cannot win, was released at a replica,
	// or is behind a competing attempt, so it releases its grants.
	OutcomeRelease
	// OutcomeUnavailable means that fewer than a majority of the replicas replied
	// as active members.
	OutcomeUnavailable
	// OutcomeExpired means that the minted key is of another generation or too old.
	OutcomeExpired
	// OutcomeReused means that the key was used with another request.
	OutcomeReused
	// OutcomeViewDiffers means that too many replicas have another shard count or
	// member list than the claimer for a majority to remain.
	OutcomeViewDiffers
)

// Attempt collects the replies of a group's replicas to the claims of one
// attempt. It is a deterministic state machine without I/O. An attempt that has
// been released is never granted.
type Attempt struct {
	id       AttemptID
	replies  []Reply
	answered []bool
	released bool
	granted  bool
}

// NewAttempt returns an attempt in a group of the given number of members.
func NewAttempt(id AttemptID, members int) *Attempt {
	return &Attempt{id: id, replies: make([]Reply, members), answered: make([]bool, members)}
}

// Add records a member's reply, which replaces an earlier one.
func (a *Attempt) Add(member int, reply Reply) {
	a.replies[member], a.answered[member] = reply, true
	if !a.released && a.mostGrantsInOneEpoch() >= a.majority() {
		a.granted = true
	}
}

// MarkFailed marks a member as failed: it did not reply.
func (a *Attempt) MarkFailed(member int) { a.answered[member] = true }

// Release ends the attempt. It is never granted afterwards.
func (a *Attempt) Release() { a.released, a.granted = true, false }

// MayDispatch reports whether a majority has granted in the same epoch and the
// attempt has not been released.
func (a *Attempt) MayDispatch() bool { return a.granted && !a.released }

// Epoch returns the highest epoch of the replies.
func (a *Attempt) Epoch() uint64 {
	var highest uint64
	for _, reply := range a.replies {
		highest = max(highest, reply.Epoch)
	}
	return highest
}

// Outdated reports whether the claim has to be sent to a member again: its grant
// does not count because another member has a higher epoch, or it refused the
// claim as stale.
func (a *Attempt) Outdated(member int) bool {
	reply := a.replies[member]
	grantedOrStale := reply.Status == StatusGranted || reply.Status == StatusStale
	return grantedOrStale && (reply.Epoch < a.Epoch() || reply.Status == StatusStale)
}

// Outcome returns the result of the replies so far. It is OutcomePending while the
// outstanding replies can still complete a majority.
func (a *Attempt) Outcome() Outcome {
	if a.MayDispatch() {
		return OutcomeGranted
	}
	if a.countReplies(StatusCompleted) > 0 {
		return OutcomeCompleted
	}
	refusals := a.countReplies(StatusHeld) + a.countReplies(StatusReleased) + a.countReplies(StatusExpired) +
		a.countReplies(StatusReused) + a.countReplies(StatusViewDiffers)
	canWin := len(a.replies)-refusals >= a.majority()
	if canWin && a.hasOutstandingReplies() {
		return OutcomePending
	}
	return a.outcomeWithoutMajority()
}

// outcomeWithoutMajority returns the outcome when the outstanding replies can no
// longer complete a majority.
func (a *Attempt) outcomeWithoutMajority() Outcome {
	switch {
	case a.countReplies(StatusExpired) > 0:
		return OutcomeExpired
	case a.countReplies(StatusReused) > 0:
		return OutcomeReused
	case len(a.replies)-a.countReplies(StatusViewDiffers) < a.majority():
		return OutcomeViewDiffers
	case a.hasOutstandingReplies():
		return OutcomeRelease
	case a.countActiveReplies() < a.majority():
		return OutcomeUnavailable
	case a.countReplies(StatusReleased) > 0:
		return OutcomeRelease
	case a.hasPrecedence():
		return OutcomeRetry
	}
	return OutcomeRelease
}

// hasPrecedence reports whether no competing attempt has more grants. Ties go to
// the lowest attempt ID.
func (a *Attempt) hasPrecedence() bool {
	own := a.countReplies(StatusGranted)
	for _, reply := range a.replies {
		if reply.Status != StatusHeld {
			continue
		}
		competing := a.grantsOfHolder(reply.Holder)
		if competing > own || (competing == own && compareAttempts(reply.Holder, a.id) < 0) {
			return false
		}
	}
	return true
}

func (a *Attempt) grantsOfHolder(holder AttemptID) int {
	n := 0
	for _, reply := range a.replies {
		if reply.Status == StatusHeld && reply.Holder == holder {
			n++
		}
	}
	return n
}

func (a *Attempt) mostGrantsInOneEpoch() int {
	highest := 0
	for _, reply := range a.replies {
		if reply.Status != StatusGranted {
			continue
		}
		highest = max(highest, a.grantsInEpoch(reply.Epoch))
	}
	return highest
}

func (a *Attempt) grantsInEpoch(epoch uint64) int {
	n := 0
	for _, reply := range a.replies {
		if reply.Status == StatusGranted && reply.Epoch == epoch {
			n++
		}
	}
	return n
}

// countActiveReplies counts the members that replied as active replicas with
// the claimer's view.
func (a *Attempt) countActiveReplies() int {
	return len(a.replies) - a.countReplies(0) - a.countReplies(StatusInactive) - a.countReplies(StatusViewDiffers)
}

func (a *Attempt) countReplies(status Status) int {
	n := 0
	for _, reply := range a.replies {
		if reply.Status == status {
			n++
		}
	}
	return n
}

func (a *Attempt) hasOutstandingReplies() bool { return slices.Contains(a.answered, false) }

func (a *Attempt) majority() int { return Majority(len(a.replies)) }

// MarkPending marks a member's reply as outstanding, because the claim is sent to it
// again. A grant of the member remains in force, since only a release revokes it.
func (a *Attempt) MarkPending(member int) {
	a.answered[member] = false
	if a.replies[member].Status != StatusGranted {
		a.replies[member] = Reply{Epoch: a.replies[member].Epoch}
	}
}

// IsAnswered reports whether a member has replied or failed.
func (a *Attempt) IsAnswered(member int) bool { return a.answered[member] }

// MayHoldGrant reports whether any member has granted, or may have granted
// because its reply is unknown.
func (a *Attempt) MayHoldGrant() bool { return a.countReplies(StatusGranted)+a.countReplies(0) > 0 }

// Answer returns the stored answer of an earlier attempt, or nil if no member
// replied with one.
func (a *Attempt) Answer() *Answer {
	for _, reply := range a.replies {
		if reply.Status == StatusCompleted {
			return reply.Answer
		}
	}
	return nil
}
