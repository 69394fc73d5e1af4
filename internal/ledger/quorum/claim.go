package quorum

import (
	"context"
	"math/rand/v2"
	"time"

	"peridotwinch.example/peridotwinch/internal/actor"
	"peridotwinch.example/peridotwinch/internal/ledger"
)

// claim is one round of a claim: it requests the key under one attempt ID and
// from the replicas of one view.
type claim struct {
	view    *view
	request ledger.ClaimRequest
	// contended is set once another attempt had precedence for the key, in this round or an
	// earlier one.
	contended bool
}

// runRound runs the claim under one attempt ID until it is decided. It returns
// false if the key may have become free and the claim has to continue under a
// new attempt ID.
func (c *claim) runRound(ctx context.Context) (ledger.Decision, bool) {
	attempt := ledger.NewAttempt(c.request.Attempt, len(c.view.replicas))
	outcome := c.requestGrants(ctx, attempt)
	if outcome == ledger.OutcomeGranted {
		return ledger.Decision{Verdict: ledger.VerdictGranted}, true
	}
	c.releaseGrants(ctx, attempt)
	if !c.view.isCurrent() {
		return ledger.Decision{Verdict: ledger.VerdictUnavailable}, ctx.Err() != nil
	}
	switch outcome {
	case ledger.OutcomeCompleted:
		return completedDecision(attempt.Answer()), true
	case ledger.OutcomeReused:
		return ledger.Decision{Verdict: ledger.VerdictReused}, true
	case ledger.OutcomeExpired:
		return ledger.Decision{Verdict: ledger.VerdictExpired}, true
	case ledger.OutcomeViewDiffers:
		return ledger.Decision{Verdict: ledger.VerdictViewDiffers}, true
	case ledger.OutcomeUnavailable:
		return ledger.Decision{Verdict: c.unavailableVerdict(ctx)}, true
	}
	c.contended = true
	return c.waitForKey(ctx)
}

// unavailableVerdict returns the verdict of a round without a majority. If ctx
// ended the round early and another attempt had precedence before, the key
// still counts as held.
func (c *claim) unavailableVerdict(ctx context.Context) ledger.Verdict {
	if c.contended && ctx.Err() != nil {
		return ledger.VerdictHeld
	}
	return ledger.VerdictUnavailable
}

// requestGrants requests the key from the replicas. It retries with exponential
// backoff while the attempt has precedence or too few replicas answer.
func (c *claim) requestGrants(ctx context.Context, attempt *ledger.Attempt) ledger.Outcome {
	var withoutMajority time.Duration
	for delay := minBackoff; ; delay = min(2*delay, maxBackoff) {
		started := time.Now()
		outcome := c.view.requestClaim(ctx, c.request, attempt)
		if outcome == ledger.OutcomeUnavailable {
			withoutMajority += time.Since(started) + delay
		}
		retry := outcome == ledger.OutcomeRetry || outcome == ledger.OutcomeUnavailable
		if !retry || !c.view.isCurrent() || withoutMajority > noMajorityTimeout || !actor.Sleep(ctx, jitter(delay)) {
			return outcome
		}
	}
}

// releaseGrants ends the attempt and releases its grants in the background. The
// release is sent to every replica, because a replica whose reply is outstanding
// may still grant the claim. The copy of the request keeps the attempt ID of this
// round.
func (c *claim) releaseGrants(ctx context.Context, attempt *ledger.Attempt) {
	attempt.Release()
	if !attempt.MayHoldGrant() {
		return
	}
	background := context.WithoutCancel(ctx)
	request := c.request
	go func() { _ = c.view.group.release(background, request) }()
}

// waitForKey polls the replicas with exponential backoff. It returns false once a
// replica has an answer or a majority has the key free, and a held verdict if ctx
// ends first. The answer is not returned from here: the next round claims the
// key, so that the replicas compare the request with the one that ran.
func (c *claim) waitForKey(ctx context.Context) (ledger.Decision, bool) {
	for delay := minBackoff; actor.Sleep(ctx, jitter(delay)); delay = min(2*delay, maxBackoff) {
		free, completed := c.view.readKey(ctx, c.request)
		if completed || free >= c.view.majority() {
			return ledger.Decision{}, false
		}
	}
	return ledger.Decision{Verdict: ledger.VerdictHeld}, true
}

func completedDecision(answer *ledger.Answer) ledger.Decision {
	return ledger.Decision{Verdict: ledger.VerdictCompleted, Answer: answer}
}

// jitter returns a random duration from d/2 up to 3d/2, so that competing
// attempts do not retry at the same time.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }
