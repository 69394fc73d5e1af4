// Package bytebudget bounds the memory that many answers buffer together. An answer of any
// single server is bounded by its reader; a budget bounds their sum.
package bytebudget

import "sync/atomic"

// FreeBytes is how many bytes each share holds without drawing on its budget, so that answers
// of an ordinary size are read even while large ones have used up the budget.
const FreeBytes = 64 << 10

// Budget is a number of bytes that shares draw on. It is safe for concurrent use.
type Budget struct {
	limitBytes int64
	usedBytes  atomic.Int64
}

// New returns a budget of limitBytes.
func New(limitBytes int64) *Budget { return &Budget{limitBytes: limitBytes} }

// UsedBytes returns how many bytes the shares hold beyond FreeBytes each.
func (b *Budget) UsedBytes() int64 { return b.usedBytes.Load() }

// Share returns a share that holds no bytes. Release must be called.
func (b *Budget) Share() *Share { return &Share{budget: b} }

// Share is the part of a budget that one answer holds. It is not safe for concurrent use.
type Share struct {
	budget *Budget
	// drawnBytes is what the share has drawn on the budget.
	drawnBytes int64
}

// Resize makes the share hold size bytes. It returns false, and changes nothing, if the budget
// has too few left.
func (s *Share) Resize(size int) bool {
	drawn := max(int64(size)-FreeBytes, 0)
	added := drawn - s.drawnBytes
	if used := s.budget.usedBytes.Add(added); added > 0 && used > s.budget.limitBytes {
		s.budget.usedBytes.Add(-added)
		return false
	}
	s.drawnBytes = drawn
	return true
}

// Release returns the share's bytes to the budget.
func (s *Share) Release() { s.Resize(0) }
