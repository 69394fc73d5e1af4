// Package bytebudget bounds the memory that many requests or answers buffer together. Each of them is
// bounded by its reader; a budget bounds their sum.
package bytebudget

import "sync/atomic"

// FreeBytes is how many bytes each share of a budget made with New holds without drawing on it, so that
// answers of an ordinary size are read even while large ones have used up the budget.
const FreeBytes = 64 << 10

// reservedShare is the share of a strict budget that shares of more than FreeBytes leave to smaller ones.
const reservedShare = 0.25

// Budget is a number of bytes that shares draw on. It is safe for concurrent use.
type Budget struct {
	limitBytes int64
	// freeBytes is what each share holds without drawing on the budget.
	freeBytes int64
	// reservedBytes is left to shares of up to FreeBytes.
	reservedBytes int64
	usedBytes     atomic.Int64
}

// New returns a budget of limitBytes for what shares hold beyond FreeBytes each.
func New(limitBytes int64) *Budget { return &Budget{limitBytes: limitBytes, freeBytes: FreeBytes} }

// NewStrict returns a budget of limitBytes for all that shares hold. Those of more than FreeBytes leave
// reservedShare of it to smaller ones.
func NewStrict(limitBytes int64) *Budget {
	return &Budget{limitBytes: limitBytes, reservedBytes: int64(reservedShare * float64(limitBytes))}
}

// UsedBytes returns how many bytes the shares have drawn.
func (b *Budget) UsedBytes() int64 { return b.usedBytes.Load() }

// limit returns how much of the budget may be used after a share has been resized.
func (b *Budget) limit(size int64) int64 {
	if size > FreeBytes {
		return b.limitBytes - b.reservedBytes
	}
	return b.limitBytes
}

// draw adds bytes to those used. It returns false, and changes nothing, if more than limit would be used.
// Bytes that do not fit are never added: shares that resize at the same moment would fail because of them.
func (b *Budget) draw(added, limit int64) bool {
	for {
		used := b.usedBytes.Load()
		if added > 0 && used+added > limit {
			return false
		}
		if b.usedBytes.CompareAndSwap(used, used+added) {
			return true
		}
	}
}

// Share returns a share that holds no bytes. Release must be called.
func (b *Budget) Share() *Share { return &Share{budget: b} }

// Share is the part of a budget that one request or answer holds. It is not safe for concurrent use.
type Share struct {
	budget *Budget
	// drawnBytes is what the share has drawn on the budget.
	drawnBytes int64
}

// Resize makes the share hold size bytes. It returns false, and changes nothing, if the budget
// has too few left.
func (s *Share) Resize(size int) bool {
	added := s.added(int64(size))
	if !s.budget.draw(added, s.budget.limit(int64(size))) {
		return false
	}
	s.drawnBytes += added
	return true
}

// CanResize reports whether the budget has enough bytes left now to make the share hold size bytes.
func (s *Share) CanResize(size int64) bool {
	added := s.added(size)
	return added <= 0 || s.budget.usedBytes.Load()+added <= s.budget.limit(size)
}

// added returns by how many bytes a size changes what the share has drawn.
func (s *Share) added(size int64) int64 { return max(size-s.budget.freeBytes, 0) - s.drawnBytes }

// Release returns the share's bytes to the budget.
func (s *Share) Release() { s.Resize(0) }
