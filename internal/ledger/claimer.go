// Package ledger holds durable claims of request keys, so that a request with
// a key runs at most once.
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

// Verdict says what a claim came to.
type Verdict int

// Verdicts of a claim.
const (
	// VerdictGranted lets the attempt dispatch.
	VerdictGranted Verdict = iota + 1
	// VerdictCompleted returns the answer of an earlier attempt.
	VerdictCompleted
	// VerdictHeld says that another attempt holds the key and its outcome is unknown.
	VerdictHeld
	// VerdictUnavailable says that no majority of replicas answered.
	VerdictUnavailable
	// VerdictExpired says that the key belongs to an earlier epoch of its group.
	VerdictExpired
	// VerdictReused says that the key was used with another request.
	VerdictReused
	// VerdictViewDiffers says that the replicas were formed with another number
	// of shards than this router's settings name.
	VerdictViewDiffers
)

// Decision is the result of a claim.
type Decision struct {
	Verdict Verdict
	// Answer is set with VerdictCompleted.
	Answer *Answer
}

// Claimer reserves keys. It is safe for concurrent use.
type Claimer interface {
	// Claim asks for the right to dispatch; it waits for a running attempt
	// until ctx ends.
	Claim(ctx context.Context, key Key, attempt AttemptID, digest Digest) Decision
	// Release gives up an attempt that has not written a byte. Only after nil
	// may the caller answer not_run.
	Release(ctx context.Context, key Key, attempt AttemptID) error
	// Complete stores the answer of a finished attempt.
	Complete(ctx context.Context, key Key, attempt AttemptID, answer Answer) error
	// Forget drops what the claimer remembers of an attempt. A key that it holds
	// at the replicas stays held.
	Forget(attempt AttemptID)
	// Mint returns new keys bound to this failure domain.
	Mint(ctx context.Context, count int) ([]string, error)
}
