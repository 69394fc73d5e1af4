package proxy

import (
	"context"
	"net/http"
	"time"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/ledger"
)

// Limits of the calls to the ledger after a claim.
const (
	releaseTimeout  = 2 * time.Second
	completeTimeout = 2 * time.Second
	completeTries   = 3
)

// runClaimed runs the job under a claim of its key.
func (t *transfer) runClaimed() error {
	t.attempt = ledger.NewAttemptID()
	defer t.proxy.claimer.Forget(t.attempt)
	decision := t.claim()
	switch decision.Verdict {
	case ledger.VerdictGranted:
		t.proxy.fire(t.call, eventClaim)
	case ledger.VerdictCompleted:
		t.proxy.fire(t.call, eventRecall)
		return t.recall(decision.Answer)
	default:
		t.proxy.fire(t.call, eventWithhold)
		return verdictError(decision.Verdict)
	}
	err := t.run()
	if t.call.life.current() == stateClaimed {
		t.release()
	}
	return err
}

// claim asks for the key. It waits up to a progress timeout for another
// attempt that runs.
func (t *transfer) claim() ledger.Decision {
	ctx, cancel := context.WithTimeout(t.waiting, t.proxy.progress)
	defer cancel()
	return t.proxy.claimer.Claim(ctx, t.key(), t.attempt, t.job.digest())
}

func (t *transfer) key() ledger.Key {
	return ledger.Key{Customer: t.call.customer.UID, Value: t.call.key}
}

// release gives the claim up. Unless that is durable, the call ends in the
// state unknown.
func (t *transfer) release() {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(t.waiting), releaseTimeout)
	defer cancel()
	if err := t.proxy.claimer.Release(ctx, t.key(), t.attempt); err != nil {
		t.proxy.fire(t.call, eventFail)
		t.proxy.log.Warn().Err(err).Str("requestId", t.call.id).Msg("the claim could not be released")
	}
}

// complete stores the answer under the call's key. The caller gets its answer
// also where that fails; a resend then learns that the request may have run.
func (t *transfer) complete(answer ledger.Answer) {
	if t.call.key == "" {
		return
	}
	for range completeTries {
		err := t.completeOnce(answer)
		if err == nil {
			return
		}
		completeFailures.Inc()
		t.proxy.log.Warn().Err(err).Str("requestId", t.call.id).Msg("the answer could not be stored")
	}
}

func (t *transfer) completeOnce(answer ledger.Answer) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(t.running), completeTimeout)
	defer cancel()
	return t.proxy.claimer.Complete(ctx, t.key(), t.attempt, answer)
}

// recall answers with the stored answer of an earlier attempt.
func (t *transfer) recall(stored *ledger.Answer) error {
	if stored.BodyDigest != nil {
		return api.Errorf(api.CodeAnswerNotKept, "status %d, SHA-256 of the body %x", stored.Status, *stored.BodyDigest)
	}
	outcome := api.OutcomeRan
	if stored.Status >= http.StatusInternalServerError {
		outcome = api.OutcomeMayHaveRun
	}
	(&answer{Answer: *stored}).write(t.w, outcome)
	return nil
}

// verdictError returns the refusal that follows from a key not granted.
func verdictError(verdict ledger.Verdict) *api.Error {
	switch verdict {
	case ledger.VerdictHeld:
		return api.Errorf(api.CodeClaimLost, "another attempt holds the key")
	case ledger.VerdictExpired:
		return api.Errorf(api.CodeKeyExpired, "the key belongs to an earlier epoch")
	case ledger.VerdictReused:
		return api.Errorf(api.CodeKeyReused, "the key was used with another request")
	case ledger.VerdictViewDiffers:
		return api.Errorf(api.CodeLedgerView, "the settings name other shards than the ledger was formed with")
	default:
		return api.Errorf(api.CodeClaimUnavailable, "ask again with the same key")
	}
}
