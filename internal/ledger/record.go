package ledger

import (
	"bytes"
	"crypto/sha256"
	"slices"
)

// MaxAnswerBytes bounds the body of a stored answer; of a longer one only the
// digest is kept.
const MaxAnswerBytes = 64 << 10

// maxTombstones bounds the released attempts that a record remembers. A delayed
// claim of a forgotten one can only block the key, never run it.
const maxTombstones = 64

// Record is what a replica holds of a key. Records are never changed in place.
type Record struct {
	// Digest is that of the request of the holder.
	Digest Digest
	// Holders has more than one attempt only after a recovery that found
	// different ones.
	Holders []AttemptID
	// Released are the attempts that gave the key back, the newest last.
	Released []AttemptID
	// Answer is set once the attempt has finished.
	Answer *Answer
	// ChangedAt is the Unix time of the last change in seconds.
	ChangedAt int64
	// MintedAt is the Unix time in seconds of a minted key, 0 for a customer's own.
	MintedAt int64
}

// clone returns a copy that shares no list with r.
func (r *Record) clone() *Record {
	out := *r
	out.Holders = slices.Clone(r.Holders)
	out.Released = slices.Clone(r.Released)
	return &out
}

// free reports whether another attempt may claim the key.
func (r *Record) free() bool { return len(r.Holders) == 0 && r.Answer == nil }

// heldAlone reports whether the attempt is the only holder.
func (r *Record) heldAlone(attempt AttemptID) bool {
	return len(r.Holders) == 1 && r.Holders[0] == attempt
}

// release removes an attempt and leaves its tombstone.
func (r *Record) release(attempt AttemptID) {
	r.Holders = slices.DeleteFunc(r.Holders, func(id AttemptID) bool { return id == attempt })
	if slices.Contains(r.Released, attempt) {
		return
	}
	r.Released = append(r.Released, attempt)
	if excess := len(r.Released) - maxTombstones; excess > 0 {
		r.Released = slices.Delete(r.Released, 0, excess)
	}
}

// Union merges copies of one record from several replicas: all holders stay,
// except those that any replica knows to have released. An answer wins.
func Union(a, b *Record) *Record {
	if a == nil {
		return b
	}
	if b == nil {
		return a
	}
	out := a.clone()
	if len(out.Holders) == 0 && out.Answer == nil {
		out.Digest = b.Digest
	}
	for _, holder := range b.Holders {
		if !slices.Contains(out.Holders, holder) {
			out.Holders = append(out.Holders, holder)
		}
	}
	for _, attempt := range slices.Concat(a.Released, b.Released) {
		out.release(attempt)
	}
	slices.SortFunc(out.Holders, compareAttempts)
	if out.Answer == nil && b.Answer != nil {
		out.Answer, out.Digest, out.Holders = b.Answer, b.Digest, slices.Clone(b.Holders)
	} else if a.Answer != nil {
		out.Holders = slices.Clone(a.Holders)
	}
	out.ChangedAt = max(a.ChangedAt, b.ChangedAt)
	out.MintedAt = max(a.MintedAt, b.MintedAt)
	return out
}

func compareAttempts(a, b AttemptID) int { return bytes.Compare(a[:], b[:]) }

// Bounded returns the answer as it is stored.
func (a Answer) Bounded() *Answer {
	if len(a.Body) > MaxAnswerBytes {
		digest := Digest(sha256.Sum256(a.Body))
		a.Body, a.BodyDigest = nil, &digest
	}
	return &a
}
