package proxy

import (
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/statechart"
)

var allEvents = []statechart.Event{
	eventClaim, eventRecall, eventWithhold, eventDispatch, eventDecline, eventDeclineClaimed,
	eventLose, eventAnswer, eventFinish, eventRefuse, eventFail,
}

// TestNotRunMeansEveryDispatchWasDeclined guards against reporting not_run for a
// request that may have run. It applies random events to a request: not_run may
// be reported only if every dispatch was declined and the request carries no
// unclaimed key.
func TestNotRunMeansEveryDispatchWasDeclined(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		state := newRequestState()
		openDispatch := false
		for _, event := range rapid.SliceOfN(rapid.SampledFrom(allEvents), 0, 20).Draw(t, "events") {
			before := state.current()
			if state.fire(event) != nil {
				continue
			}
			switch event {
			case eventDispatch:
				openDispatch = true
			case eventDecline, eventDeclineClaimed:
				// If a resumed request is declined, its lost dispatch remains.
				openDispatch = before == stateResumed
			}
		}
		unclaimedKey := rapid.Bool().Draw(t, "unclaimedKey")
		received := state.current() == stateReceived
		g.Expect(state.finishWithoutAnswer(unclaimedKey)).To(Succeed())
		if state.outcome() == api.OutcomeNotRun {
			g.Expect(openDispatch).To(BeFalse())
			g.Expect(received && unclaimedKey).To(BeFalse())
		}
	})
}
