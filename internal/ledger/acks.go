package ledger

// Acks tracks which members of a group have durably acknowledged a release or
// a completion.
type Acks struct {
	// epochs holds the epoch of each member's acknowledgement; 0 means none.
	epochs []uint64
}

// NewAcks returns an Acks for a group of the given number of members.
func NewAcks(members int) *Acks { return &Acks{epochs: make([]uint64, members)} }

// Add records a member's acknowledgement and its epoch.
func (a *Acks) Add(member int, epoch uint64) { a.epochs[member] = epoch }

// Remove removes a member's acknowledgement.
func (a *Acks) Remove(member int) { a.epochs[member] = 0 }

// Durable reports whether a majority has acknowledged in the same epoch.
// Acknowledgements of different epochs do not add up: the member with the lower
// epoch may have lost its disk and recovered before the member with the higher
// epoch applied the operation.
func (a *Acks) Durable() bool { return a.countInEpoch(a.highestEpoch()) >= Majority(len(a.epochs)) }

// Outdated returns, in ascending order, the members whose acknowledgement is of
// a lower epoch than another one. They have to acknowledge again.
func (a *Acks) Outdated() []int {
	var outdated []int
	for member, epoch := range a.epochs {
		if epoch != 0 && epoch < a.highestEpoch() {
			outdated = append(outdated, member)
		}
	}
	return outdated
}

func (a *Acks) highestEpoch() uint64 {
	var highest uint64
	for _, epoch := range a.epochs {
		highest = max(highest, epoch)
	}
	return highest
}

func (a *Acks) countInEpoch(epoch uint64) int {
	n := 0
	for _, memberEpoch := range a.epochs {
		if memberEpoch == epoch && epoch != 0 {
			n++
		}
	}
	return n
}
