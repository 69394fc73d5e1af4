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
	// eventClaim: the ledger granted the request's key.
	eventClaim statechart.Event = "claim"
	// eventRecall: the ledger returned the answer of an earlier attempt.
	eventRecall statechart.Event = "recall"
	// eventWithhold: the key was not granted, so another attempt may have run.
	eventWithhold statechart.Event = "withhold"
	// eventDispatch: the request is handed to a connection; a byte may be written.
	eventDispatch statechart.Event = "dispatch"
	// eventDecline: no byte was written, or the server refused as not run.
	eventDecline statechart.Event = "decline"
	// eventDeclineClaimed is eventDecline of a request that holds its key.
	eventDeclineClaimed statechart.Event = "decline_claimed"
	// eventLose: the server failed after bytes were written; another one takes over.
	eventLose statechart.Event = "lose"
	// eventAnswer: the server began to answer.
	eventAnswer statechart.Event = "answer"
	// eventFinish: the answer is whole.
	eventFinish statechart.Event = "finish"
	// eventRefuse: the request is refused and has not run.
	eventRefuse statechart.Event = "refuse"
	// eventFail: the request ends and may have run.
	eventFail statechart.Event = "fail"
)

var requestChart = statechart.MustLoad("request")

// life is the state of one caller's request. It is safe for concurrent use.
type life struct {
	mu    sync.Mutex
	state statechart.State
}

func newLife() *life { return &life{state: requestChart.Initial()} }

// fire moves to the state that follows on the event.
func (l *life) fire(event statechart.Event) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	next, err := requestChart.Next(l.state, event)
	if err != nil {
		return err
	}
	l.state = next
	return nil
}

func (l *life) current() statechart.State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state
}

// end moves a request that is over without an answer to its final state. A
// request that carries a key but holds no claim is never called not run,
// because an attempt under the same key may have run elsewhere.
func (l *life) end(unclaimedKey bool) error {
	switch l.current() {
	case stateFinished, stateRefused, stateUnknown:
		return nil
	case stateReceived:
		if unclaimedKey {
			return l.fire(eventWithhold)
		}
		return l.fire(eventRefuse)
	case stateClaimed:
		return l.fire(eventRefuse)
	default:
		return l.fire(eventFail)
	}
}

// outcome returns what the state says about the request having run.
func (l *life) outcome() api.Outcome {
	switch l.current() {
	case stateFinished:
		return api.OutcomeRan
	case stateRefused:
		return api.OutcomeNotRun
	default:
		return api.OutcomeMayHaveRun
	}
}
