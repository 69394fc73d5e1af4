package proxy

import (
	"sync"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/statechart"
)

// States of the request chart.
const (
	stateReceived   statechart.State = "received"
	stateClaimed    statechart.State = "claimed"
	stateDispatched statechart.State = "dispatched"
	stateStreaming  statechart.State = "streaming"
	stateResumed    statechart.State = "resumed"
	stateFinished   statechart.State = "finished"
	stateRefused    statechart.State = "refused"
	stateUnknown    statechart.State = "unknown"
)

// Events of the request chart.
const (
	// eventClaim: the ledger granted a claim of the request's key.
	eventClaim statechart.Event = "claim"
	// eventRecall: the ledger returned the stored answer of an earlier attempt.
	eventRecall statechart.Event = "recall"
	// eventWithhold: the claim was not granted, so another attempt may have run.
	eventWithhold statechart.Event = "withhold"
	// eventDispatch: the request was handed to a connection, so a byte of it may be
	// written from now on.
	eventDispatch statechart.Event = "dispatch"
	// eventDecline: no byte was written, or the server reported the outcome not_run.
	eventDecline statechart.Event = "decline"
	// eventDeclineClaimed: as eventDecline, for a request that holds its claim.
	eventDeclineClaimed statechart.Event = "decline_claimed"
	// eventLose: the server failed after bytes were written; the request is retried
	// on another server.
	eventLose statechart.Event = "lose"
	// eventAnswer: the server began to answer.
	eventAnswer statechart.Event = "answer"
	// eventFinish: the answer is complete.
	eventFinish statechart.Event = "finish"
	// eventRefuse: the request is refused and has not run.
	eventRefuse statechart.Event = "refuse"
	// eventFail: the request failed and may have run.
	eventFail statechart.Event = "fail"
)

var requestChart = statechart.MustLoad("request")

// requestState is a caller's request in the request chart. It is safe for
// concurrent use.
type requestState struct {
	mu    sync.Mutex
	state statechart.State
}

func newRequestState() *requestState { return &requestState{state: requestChart.Initial()} }

// fire applies an event to the state. It returns an error and leaves the state
// unchanged if the state does not accept the event.
func (s *requestState) fire(event statechart.Event) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	next, err := requestChart.Next(s.state, event)
	if err != nil {
		return err
	}
	s.state = next
	return nil
}

func (s *requestState) current() statechart.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}

// finishWithoutAnswer moves a request that has no answer to its final state. A
// request with a key but without a claim is never reported as not run, because
// another attempt with the same key may have run.
func (s *requestState) finishWithoutAnswer(unclaimedKey bool) error {
	switch s.current() {
	case stateFinished, stateRefused, stateUnknown:
		return nil
	case stateReceived:
		if unclaimedKey {
			return s.fire(eventWithhold)
		}
		return s.fire(eventRefuse)
	case stateClaimed:
		return s.fire(eventRefuse)
	default:
		return s.fire(eventFail)
	}
}

// outcome returns the outcome that the state implies.
func (s *requestState) outcome() api.Outcome {
	switch s.current() {
	case stateFinished:
		return api.OutcomeRan
	case stateRefused:
		return api.OutcomeNotRun
	default:
		return api.OutcomeMayHaveRun
	}
}
