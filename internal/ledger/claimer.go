// Package ledger implements durable claims of request keys, so that a request
// with a key runs at most once.
//
// A group of replicas stores the claims. An attempt to run a request claims its
// key at the replicas and may dispatch the request once a majority has granted
// the key in the same epoch. A release leaves a tombstone that refuses a delayed
// claim of the released attempt. A recovery or a membership change raises the
// epoch, so grants made before and after it are never counted together. The
// generation identifies the formation or restart of a group.
//
// State (one replica) and Attempt (one claimer) are deterministic state machines
// without I/O.
package ledger

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
)

// Key is an idempotency key of a customer.
type Key struct {
	Customer string
	Value    string
}

// AttemptID identifies one attempt to run a keyed request.
type AttemptID [16]byte

// NewAttemptID returns a random attempt ID.
func NewAttemptID() AttemptID {
	var id AttemptID
	_, _ = rand.Read(id[:])
	return id
}

// String returns the ID in hexadecimal digits.
func (id AttemptID) String() string { return hex.EncodeToString(id[:]) }

// Digest is the SHA-256 digest of a request.
type Digest [sha256.Size]byte

// Answer is the stored answer of a finished attempt.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
	// BodyDigest is set in place of a body above MaxAnswerBytes in an answer
	// that was stored.
	BodyDigest *Digest
}

// Verdict is the result of a claim.
type Verdict int

// Verdicts of a claim.
const (
	// VerdictGranted permits the attempt to dispatch the request.
	VerdictGranted Verdict = iota + 1
	// VerdictCompleted means that an earlier attempt has finished; the decision has
	// its answer.
	VerdictCompleted
	// VerdictHeld means that another attempt holds the key and its outcome is unknown.
	VerdictHeld
	// VerdictUnavailable means that no majority of the replicas replied.
	VerdictUnavailable
	// VerdictExpired means that the minted key is of another generation of its
	// group or too old.
	VerdictExpired
	// VerdictReused means that the key was used with another request.
	VerdictReused
	// VerdictViewDiffers means that the replicas were formed with another number
	// of shards than this router's settings configure.
	VerdictViewDiffers
)

// Decision is the verdict of a claim with the stored answer, if any.
type Decision struct {
	Verdict Verdict
	// Answer is set with VerdictCompleted.
	Answer *Answer
}

// Claimer claims keys for attempts. It is safe for concurrent use.
type Claimer interface {
	// Claim requests the right to dispatch. While another attempt runs, Claim
	// waits for it until ctx ends.
	Claim(ctx context.Context, key Key, attempt AttemptID, digest Digest) Decision
	// Release releases the key of an attempt that has not written a byte. The
	// caller may answer not_run only after Release has returned nil.
	Release(ctx context.Context, key Key, attempt AttemptID) error
	// Complete stores the answer of a finished attempt.
	Complete(ctx context.Context, key Key, attempt AttemptID, answer Answer) error
	// Discard removes the claimer's local state of an attempt. A key that the
	// attempt holds at the replicas stays held.
	Discard(attempt AttemptID)
	// Mint returns count new keys that are bound to this failure domain.
	Mint(ctx context.Context, count int) ([]string, error)
}
