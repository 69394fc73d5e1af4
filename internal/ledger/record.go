package ledger

import (
	"bytes"
	"crypto/sha256"
	"slices"
)

// MaxAnswerBytes is the maximum size of the body of a stored answer. Only the
// digest of a larger body is kept.
const MaxAnswerBytes = 64 << 10

// maxTombstones is the maximum number of tombstones (released attempts) in a
// record; the oldest are dropped first. A delayed claim of an attempt without its
// tombstone can only block the key and never causes a run, because a released
// attempt does not dispatch.
const maxTombstones = 64

// Record is the state of a key at a replica. A record is never changed in place.
type Record struct {
	// Digest is the digest of the holder's request.
	Digest Digest
	// Holders are the attempts that hold the key. There is more than one only
	// after a recovery or restart that found different holders.
	Holders []AttemptID
	// Released holds the tombstones: the attempts that released the key, the
	// newest last.
	Released []AttemptID
	// Answer is set once an attempt has finished.
	Answer *Answer
	// ChangedAt is the time of the last change in Unix seconds.
	ChangedAt int64
	// MintedAt is the mint time of a minted key in Unix seconds, 0 for a
	// customer's own key.
	MintedAt int64
}

// clone returns a copy with its own lists of holders and tombstones.
func (r *Record) clone() *Record {
	copied := *r
	copied.Holders = slices.Clone(r.Holders)
	copied.Released = slices.Clone(r.Released)
	return &copied
}

// isFree reports whether no attempt holds the key and none has finished, so that
// any attempt may claim it.
func (r *Record) isFree() bool { return len(r.Holders) == 0 && r.Answer == nil }

// hasSoleHolder reports whether the attempt is the only holder.
func (r *Record) hasSoleHolder(attempt AttemptID) bool {
	return len(r.Holders) == 1 && r.Holders[0] == attempt
}

// release removes an attempt from the holders and adds its tombstone.
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

// Union merges two replicas' copies of a record. It keeps all holders except
// those that have a tombstone in either copy. A stored answer takes precedence,
// with the holders of its copy. Either copy may be nil.
func Union(a, b *Record) *Record {
	if a == nil {
		return b
	}
	if b == nil {
		return a
	}
	merged := a.clone()
	if len(merged.Holders) == 0 && merged.Answer == nil {
		merged.Digest = b.Digest
	}
	for _, holder := range b.Holders {
		if !slices.Contains(merged.Holders, holder) {
			merged.Holders = append(merged.Holders, holder)
		}
	}
	for _, attempt := range slices.Concat(a.Released, b.Released) {
		merged.release(attempt)
	}
	slices.SortFunc(merged.Holders, compareAttempts)
	if merged.Answer == nil && b.Answer != nil {
		merged.Answer, merged.Digest, merged.Holders = b.Answer, b.Digest, slices.Clone(b.Holders)
	} else if a.Answer != nil {
		merged.Holders = slices.Clone(a.Holders)
	}
	merged.ChangedAt = max(a.ChangedAt, b.ChangedAt)
	merged.MintedAt = max(a.MintedAt, b.MintedAt)
	return merged
}

func compareAttempts(a, b AttemptID) int { return bytes.Compare(a[:], b[:]) }

// ToStored returns the answer as it is stored: a body above MaxAnswerBytes is
// replaced by its digest.
func (a Answer) ToStored() *Answer {
	if len(a.Body) > MaxAnswerBytes {
		digest := Digest(sha256.Sum256(a.Body))
		a.Body, a.BodyDigest = nil, &digest
	}
	return &a
}
