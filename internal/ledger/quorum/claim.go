package quorum

import (
	"context"
	"math/rand/v2"
	"time"

	"peridotwinch.example/peridotwinch/internal/actor"
	"peridotwinch.example/peridotwinch/internal/ledger"
)

// claim is a claim in progress.
type claim struct {
	view    *view
	request ledger.ClaimRequest
	// contended is set once a rival was ahead.
	contended bool
}

// round runs one attempt ID to its end. It reports false when the key came free
// again and the claim goes on under a new ID.
func (c *claim) round(ctx context.Context) (ledger.Decision, bool) {
	attempt := ledger.NewAttempt(c.request.Attempt, len(c.view.replicas))
	outcome := c.ask(ctx, attempt)
	if outcome == ledger.OutcomeGranted {
		return ledger.Decision{Verdict: ledger.VerdictGranted}, true
	}
	c.giveBack(ctx, attempt)
	if !c.view.isCurrent() {
		return ledger.Decision{Verdict: ledger.VerdictUnavailable}, ctx.Err() != nil
	}
	switch outcome {
	case ledger.OutcomeCompleted:
		return completed(attempt.Answer()), true
	case ledger.OutcomeReused:
		return ledger.Decision{Verdict: ledger.VerdictReused}, true
	case ledger.OutcomeExpired:
		return ledger.Decision{Verdict: ledger.VerdictExpired}, true
	case ledger.OutcomeViewDiffers:
		return ledger.Decision{Verdict: ledger.VerdictViewDiffers}, true
	case ledger.OutcomeUnavailable:
		return ledger.Decision{Verdict: c.unavailable(ctx)}, true
	}
	c.contended = true
	return c.wait(ctx)
}

// unavailable returns the verdict of a round without a majority. A round that
// ctx cut short says nothing new about a key that was held before.
func (c *claim) unavailable(ctx context.Context) ledger.Verdict {
	if c.contended && ctx.Err() != nil {
		return ledger.VerdictHeld
	}
	return ledger.VerdictUnavailable
}

// ask repeats the claim while the attempt leads or too few replicas answer.
func (c *claim) ask(ctx context.Context, attempt *ledger.Attempt) ledger.Outcome {
	var unavailable time.Duration
	for delay := minPause; ; delay = min(2*delay, maxPause) {
		started := time.Now()
		outcome := c.view.round(ctx, c.request, attempt)
		if outcome == ledger.OutcomeUnavailable {
			unavailable += time.Since(started) + delay
		}
		retry := outcome == ledger.OutcomeKeep || outcome == ledger.OutcomeUnavailable
		if !retry || !c.view.isCurrent() || unavailable > unavailableAfter || !actor.Sleep(ctx, jitter(delay)) {
			return outcome
		}
	}
}

// giveBack ends the attempt and returns its grants beside the caller. It is told
// to every replica, also to those whose grant is still under way.
func (c *claim) giveBack(ctx context.Context, attempt *ledger.Attempt) {
	attempt.Release()
	if !attempt.MayHoldGrant() {
		return
	}
	background := context.WithoutCancel(ctx)
	lost := c.request
	go func() { _ = c.view.group.release(background, lost) }()
}

// wait returns once ctx ends, or reports false once a replica has an answer or a
// majority sees the key free. The next round then claims it, so that the
// replicas compare the request with the one that ran.
func (c *claim) wait(ctx context.Context) (ledger.Decision, bool) {
	for delay := minPause; actor.Sleep(ctx, jitter(delay)); delay = min(2*delay, maxPause) {
		free, finished := c.view.read(ctx, c.request)
		if finished || free >= c.view.majority() {
			return ledger.Decision{}, false
		}
	}
	return ledger.Decision{Verdict: ledger.VerdictHeld}, true
}

func completed(answer *ledger.Answer) ledger.Decision {
	return ledger.Decision{Verdict: ledger.VerdictCompleted, Answer: answer}
}

// jitter spreads rivals that pause at the same time.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }
