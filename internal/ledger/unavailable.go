package ledger

import (
	"context"

	"peridotwinch.example/peridotwinch/api"
)

// UnavailableClaimer is the Claimer of a router whose settings name no ledger replica.
// It grants no key, so keyed requests are refused and never run twice.
type UnavailableClaimer struct{}

// Claim implements Claimer.
func (UnavailableClaimer) Claim(context.Context, Key, AttemptID, Digest) Decision {
	return Decision{Verdict: VerdictUnavailable}
}

// Release implements Claimer.
func (UnavailableClaimer) Release(context.Context, Key, AttemptID) error { return nil }

// Complete implements Claimer.
func (UnavailableClaimer) Complete(context.Context, Key, AttemptID, Answer) error { return nil }

// Discard implements Claimer.
func (UnavailableClaimer) Discard(AttemptID) {}

// Mint implements Claimer.
func (UnavailableClaimer) Mint(context.Context, int) ([]string, error) {
	return nil, api.Errorf(api.CodeClaimUnavailable, "the settings name no ledger replica")
}
