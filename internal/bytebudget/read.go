package bytebudget

import (
	"io"

	"github.com/pkg/errors"
)

const (
	// maxInitialBytes bounds the memory for a body of a declared length before it arrives.
	maxInitialBytes = 32 << 10
	// initialBytes is the memory for a body of an unknown length before it arrives.
	initialBytes = 4 << 10
)

// ErrExhausted is the error of a read for which the budget has too few bytes left.
var ErrExhausted = errors.New("too few bytes of memory are left")

// ReadAll reads a body of a declared length, or of an unknown one if it is negative, into memory that
// the share holds. The share grows as bytes arrive, because a sender may declare a large body and never
// send it. A declared length for which the budget has too few bytes fails before anything is read. After
// an error the share holds nothing, so that others which are still growing have room.
func (s *Share) ReadAll(r io.Reader, declaredLength int64) (body []byte, err error) {
	defer func() {
		if err != nil {
			s.Release()
		}
	}()
	if declaredLength >= 0 && !s.CanResize(declaredLength) {
		return nil, ErrExhausted
	}
	capacity := int64(initialBytes)
	if declaredLength >= 0 {
		capacity = min(maxInitialBytes, fullCapacity(declaredLength))
	}
	for {
		if len(body) == cap(body) {
			if !s.Resize(int(capacity)) {
				return nil, ErrExhausted
			}
			body = append(make([]byte, 0, capacity), body...)
			capacity = nextCapacity(capacity, declaredLength)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// fullCapacity leaves room for the read that returns io.EOF.
func fullCapacity(length int64) int64 { return length + 1 }

func nextCapacity(capacity, declaredLength int64) int64 {
	if full := fullCapacity(declaredLength); capacity < full {
		return min(2*capacity, full)
	}
	return 2 * capacity
}
