package ledger

import "slices"

// Outcome is what an attempt has come to so far.
type Outcome int

// Outcomes of an attempt.
const (
	// OutcomeOpen says that replies are still missing.
	OutcomeOpen Outcome = iota
	// OutcomeGranted says that a majority granted in one epoch.
	OutcomeGranted
	// OutcomeCompleted says that an earlier attempt has finished.
	OutcomeCompleted
	// OutcomeKeep says that the attempt lost no vote yet and asks again.
	OutcomeKeep
	// OutcomeYield says that the attempt gives its grants back to a rival.
	OutcomeYield
	// OutcomeUnavailable says that too few replicas answered.
	OutcomeUnavailable
	// OutcomeExpired says that the minted key is of another generation or too old.
	OutcomeExpired
	// OutcomeReused says that the key stands for another request.
	OutcomeReused
	// OutcomeViewDiffers says that the replicas have other shards or members
	// than the claimer believes.
	OutcomeViewDiffers
)

// Attempt counts the replies of a group's replicas to one attempt: a
// deterministic state machine without I/O.
type Attempt struct {
	id       AttemptID
	replies  []Reply
	answered []bool
	released bool
	granted  bool
}

// NewAttempt returns an attempt at a group of this many members.
func NewAttempt(id AttemptID, members int) *Attempt {
	return &Attempt{id: id, replies: make([]Reply, members), answered: make([]bool, members)}
}

// Add takes a member's reply; a later one replaces an earlier one.
func (a *Attempt) Add(member int, reply Reply) {
	a.replies[member], a.answered[member] = reply, true
	if !a.released && a.grantsOfOneEpoch() >= a.majority() {
		a.granted = true
	}
}

// Fail notes that a member did not answer.
func (a *Attempt) Fail(member int) { a.answered[member] = true }

// Release ends the attempt; it is never granted afterwards.
func (a *Attempt) Release() { a.released, a.granted = true, false }

// MayDispatch reports whether a majority has granted in one epoch and the
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

// Outdated reports whether a member's grant does not count because another
// member has a higher epoch, so that it has to be asked again.
func (a *Attempt) Outdated(member int) bool {
	reply := a.replies[member]
	counts := reply.Status == StatusGranted || reply.Status == StatusStale
	return counts && (reply.Epoch < a.Epoch() || reply.Status == StatusStale)
}

// Outcome returns what the replies come to. It is OutcomeOpen while members
// that have not answered can still decide.
func (a *Attempt) Outcome() Outcome {
	if a.MayDispatch() {
		return OutcomeGranted
	}
	if a.count(StatusCompleted) > 0 {
		return OutcomeCompleted
	}
	refusals := a.count(StatusHeld) + a.count(StatusReleased) + a.count(StatusExpired) + a.count(StatusReused) +
		a.count(StatusViewDiffers)
	canWin := len(a.replies)-refusals >= a.majority()
	if canWin && a.isOpen() {
		return OutcomeOpen
	}
	return a.lost()
}

func (a *Attempt) lost() Outcome {
	switch {
	case a.count(StatusExpired) > 0:
		return OutcomeExpired
	case a.count(StatusReused) > 0:
		return OutcomeReused
	case len(a.replies)-a.count(StatusViewDiffers) < a.majority():
		return OutcomeViewDiffers
	case a.isOpen():
		return OutcomeYield
	case a.takingPart() < a.majority():
		return OutcomeUnavailable
	case a.count(StatusReleased) > 0:
		return OutcomeYield
	case a.leads():
		return OutcomeKeep
	}
	return OutcomeYield
}

// leads reports whether no rival has more grants; among equals the lowest ID leads.
func (a *Attempt) leads() bool {
	own := a.count(StatusGranted)
	for _, reply := range a.replies {
		if reply.Status != StatusHeld {
			continue
		}
		rival := a.heldBy(reply.Holder)
		if rival > own || (rival == own && compareAttempts(reply.Holder, a.id) < 0) {
			return false
		}
	}
	return true
}

func (a *Attempt) heldBy(holder AttemptID) int {
	n := 0
	for _, reply := range a.replies {
		if reply.Status == StatusHeld && reply.Holder == holder {
			n++
		}
	}
	return n
}

func (a *Attempt) grantsOfOneEpoch() int {
	most := 0
	for _, one := range a.replies {
		if one.Status != StatusGranted {
			continue
		}
		most = max(most, a.grantsOf(one.Epoch))
	}
	return most
}

func (a *Attempt) grantsOf(epoch uint64) int {
	n := 0
	for _, reply := range a.replies {
		if reply.Status == StatusGranted && reply.Epoch == epoch {
			n++
		}
	}
	return n
}

// takingPart counts the members that answered as active replicas.
func (a *Attempt) takingPart() int {
	return len(a.replies) - a.count(0) - a.count(StatusInactive) - a.count(StatusViewDiffers)
}

func (a *Attempt) count(status Status) int {
	n := 0
	for _, reply := range a.replies {
		if reply.Status == status {
			n++
		}
	}
	return n
}

func (a *Attempt) isOpen() bool { return slices.Contains(a.answered, false) }

func (a *Attempt) majority() int { return Majority(len(a.replies)) }

// AskAgain marks a member as asked again. A grant that it gave still stands,
// since only a release takes it back.
func (a *Attempt) AskAgain(member int) {
	a.answered[member] = false
	if a.replies[member].Status != StatusGranted {
		a.replies[member] = Reply{Epoch: a.replies[member].Epoch}
	}
}

// IsAnswered reports whether a member has answered or failed.
func (a *Attempt) IsAnswered(member int) bool { return a.answered[member] }

// MayHoldGrant reports whether a member has granted, or has been asked and its
// answer is unknown.
func (a *Attempt) MayHoldGrant() bool { return a.count(StatusGranted)+a.count(0) > 0 }

// Answer returns the stored answer of an earlier attempt, if a member had one.
func (a *Attempt) Answer() *Answer {
	for _, reply := range a.replies {
		if reply.Status == StatusCompleted {
			return reply.Answer
		}
	}
	return nil
}
