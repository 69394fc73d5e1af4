package ledger

import (
	"context"

	"peridotwinch.example/peridotwinch/api"
)

// Unavailable is the Claimer of a router whose settings name no ledger replica.
// It grants no key, so keyed requests are refused and never run twice.
type Unavailable struct{}

// Claim implements Claimer.
func (Unavailable) Claim(context.Context, Key, AttemptID, Digest) Decision {
	return Decision{Verdict: VerdictUnavailable}
}

// Release implements Claimer.
func (Unavailable) Release(context.Context, Key, AttemptID) error { return nil }

// Complete implements Claimer.
func (Unavailable) Complete(context.Context, Key, AttemptID, Answer) error { return nil }

// Forget implements Claimer.
func (Unavailable) Forget(AttemptID) {}

// Mint implements Claimer.
func (Unavailable) Mint(context.Context, int) ([]string, error) {
	return nil, api.Errorf(api.CodeClaimUnavailable, "the settings name no ledger replica")
}
