package ledger

// Acks counts the members that have a release or a completion on disk.
type Acks struct {
	// epochs holds the epoch of each member's acknowledgement, 0 for none.
	epochs []uint64
}

// NewAcks returns a count for a group of this many members.
func NewAcks(members int) *Acks { return &Acks{epochs: make([]uint64, members)} }

// Add takes a member's acknowledgement in an epoch.
func (a *Acks) Add(member int, epoch uint64) { a.epochs[member] = epoch }

// Forget drops a member's acknowledgement.
func (a *Acks) Forget(member int) { a.epochs[member] = 0 }

// Durable reports whether a majority has acknowledged in one epoch. Of two
// acknowledgements in different epochs, the older member may have lost its disk
// and recovered before the newer one took the operation.
func (a *Acks) Durable() bool { return a.count(a.highest()) >= Majority(len(a.epochs)) }

// Outdated returns the members that have to acknowledge again, in ascending order.
func (a *Acks) Outdated() []int {
	var out []int
	for member, epoch := range a.epochs {
		if epoch != 0 && epoch < a.highest() {
			out = append(out, member)
		}
	}
	return out
}

func (a *Acks) highest() uint64 {
	var highest uint64
	for _, epoch := range a.epochs {
		highest = max(highest, epoch)
	}
	return highest
}

func (a *Acks) count(epoch uint64) int {
	n := 0
	for _, other := range a.epochs {
		if other == epoch && epoch != 0 {
			n++
		}
	}
	return n
}
