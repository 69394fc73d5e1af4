package proxy

import (
	"context"
	"net/http"
	"time"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/ledger"
)

// Limits of the ledger calls that follow a claim.
const (
	releaseTimeout   = 2 * time.Second
	completeTimeout  = 2 * time.Second
	maxCompleteTries = 3
)

// runWithClaim claims the call's key and runs the job if the claim is granted. It
// releases the claim if the request has not run.
func (t *transfer) runWithClaim() error {
	t.attemptID = ledger.NewAttemptID()
	defer t.proxy.claimer.Discard(t.attemptID)
	decision := t.claim()
	switch decision.Verdict {
	case ledger.VerdictGranted:
		t.proxy.fire(t.call, eventClaim)
	case ledger.VerdictCompleted:
		t.proxy.fire(t.call, eventRecall)
		return t.answerFromLedger(decision.Answer)
	default:
		t.proxy.fire(t.call, eventWithhold)
		return verdictError(decision.Verdict)
	}
	err := t.run()
	if t.call.state.current() == stateClaimed {
		t.releaseClaim()
	}
	return err
}

// claim claims the key. It waits up to the progress timeout for an attempt that is
// running with the same key.
func (t *transfer) claim() ledger.Decision {
	ctx, cancel := context.WithTimeout(t.waitCtx, t.proxy.progressTimeout)
	defer cancel()
	return t.proxy.claimer.Claim(ctx, t.key(), t.attemptID, t.job.digest())
}

func (t *transfer) key() ledger.Key {
	return ledger.Key{Customer: t.call.customer.UID, Value: t.call.key}
}

// releaseClaim releases the claim. If the release does not become durable, the
// call ends in the state unknown.
func (t *transfer) releaseClaim() {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(t.waitCtx), releaseTimeout)
	defer cancel()
	if err := t.proxy.claimer.Release(ctx, t.key(), t.attemptID); err != nil {
		t.proxy.fire(t.call, eventFail)
		t.proxy.log.Warn().Err(err).Str("requestId", t.call.id).Msg("cannot release the claim of the request's key")
	}
}

// storeAnswer stores the answer under the call's key. The caller receives its
// answer even if that fails; a later request with the same key then reports that
// the request may have run.
func (t *transfer) storeAnswer(answer ledger.Answer) {
	if t.call.key == "" {
		return
	}
	for range maxCompleteTries {
		err := t.tryStoreAnswer(answer)
		if err == nil {
			return
		}
		claimCompleteFailures.Inc()
		t.proxy.log.Warn().Err(err).Str("requestId", t.call.id).Msg("cannot store the answer under the request's key")
	}
}

func (t *transfer) tryStoreAnswer(answer ledger.Answer) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(t.runCtx), completeTimeout)
	defer cancel()
	return t.proxy.claimer.Complete(ctx, t.key(), t.attemptID, answer)
}

// answerFromLedger answers with the stored answer of an earlier attempt.
func (t *transfer) answerFromLedger(stored *ledger.Answer) error {
	if stored.BodyDigest != nil {
		return api.Errorf(api.CodeAnswerNotKept, "the answer had status %d and a body with SHA-256 %x", stored.Status, *stored.BodyDigest)
	}
	outcome := api.OutcomeRan
	if stored.Status >= http.StatusInternalServerError {
		outcome = api.OutcomeMayHaveRun
	}
	(&answer{Answer: *stored}).write(t.w, outcome)
	return nil
}

// verdictError returns the error for a claim that was not granted.
func verdictError(verdict ledger.Verdict) *api.Error {
	switch verdict {
	case ledger.VerdictHeld:
		return api.Errorf(api.CodeClaimLost, "another attempt holds the key")
	case ledger.VerdictExpired:
		return api.Errorf(api.CodeKeyExpired, "the key was minted in another generation of its ledger group, or is too old")
	case ledger.VerdictReused:
		return api.Errorf(api.CodeKeyReused, "the key was used with another request")
	case ledger.VerdictViewDiffers:
		return api.Errorf(api.CodeLedgerView, "the router's settings name other shards than the ledger was formed with")
	default:
		return api.Errorf(api.CodeClaimUnavailable, "the ledger is unavailable; retry with the same key")
	}
}
