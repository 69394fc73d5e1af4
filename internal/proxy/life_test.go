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

// Whatever happens to a request, it is called not run only where each dispatch
// of it was declined.
func TestNotRunMeansThatEveryDispatchWasDeclined(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		l := newRequestState()
		undeclined := false
		for _, event := range rapid.SliceOfN(rapid.SampledFrom(allEvents), 0, 20).Draw(t, "events") {
			before := l.current()
			if l.fire(event) != nil {
				continue
			}
			switch event {
			case eventDispatch:
				undeclined = true
			case eventDecline, eventDeclineClaimed:
				// A declined resume leaves the lost dispatch before it.
				undeclined = before == stateResumed
			}
		}
		unclaimedKey := rapid.Bool().Draw(t, "unclaimedKey")
		received := l.current() == stateReceived
		g.Expect(l.finishWithoutAnswer(unclaimedKey)).To(Succeed())
		if l.outcome() == api.OutcomeNotRun {
			g.Expect(undeclined).To(BeFalse())
			g.Expect(received && unclaimedKey).To(BeFalse())
		}
	})
}
