package balance

import (
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"peridotwinch.example/peridotwinch/internal/settings"
)

// New returns a balancer of the named policy that draws random numbers from random.
// It returns an error if the policy is unknown.
func New(policy settings.Policy, random *rand.Rand) (Balancer, error) {
	switch policy {
	case settings.PolicyProduct:
		return NewBounded(random), nil
	case settings.PolicyRandom:
		return newBaseline(func(b *baseline, _ *Request, _ []*serverState, eligible []int) int {
			return eligible[random.IntN(len(eligible))]
		}), nil
	case settings.PolicyRoundRobin:
		return newBaseline(roundRobin), nil
	case settings.PolicyLeastInFlight:
		return newBaseline(leastInFlight), nil
	case settings.PolicyRendezvous:
		return newBaseline(rendezvous), nil
	case settings.PolicyTwoChoices:
		return newBaseline(func(b *baseline, _ *Request, states []*serverState, eligible []int) int {
			first, second := eligible[random.IntN(len(eligible))], eligible[random.IntN(len(eligible))]
			if states[second].inFlight < states[first].inFlight {
				return second
			}
			return first
		}), nil
	}
	return nil, errors.Errorf("unknown routing policy %q", policy)
}

// chooser returns one of the eligible indices into states.
type chooser func(b *baseline, request *Request, states []*serverState, eligible []int) int

// baseline is a policy that chooses among all servers with a free slot, for
// comparison with Bounded.
type baseline struct {
	inFlightTracker
	choose   chooser
	cursor   int
	eligible []int
}

func newBaseline(choose chooser) *baseline {
	return &baseline{inFlightTracker: newInFlightTracker(), choose: choose}
}

// Pick implements Balancer.
func (b *baseline) Pick(now time.Time, request Request, view *View) (ServerID, bool) {
	states := b.viewStates(now, view)
	b.eligible = b.eligible[:0]
	for i := range view.servers {
		if states[i].inFlight < view.servers[i].Slots && !request.excludes(view.servers[i].ID) {
			b.eligible = append(b.eligible, i)
		}
	}
	if len(b.eligible) == 0 {
		return "", false
	}
	chosen := b.choose(b, &request, states, b.eligible)
	b.recordStart(states[chosen], &request)
	return view.servers[chosen].ID, true
}

// Done implements Balancer.
func (b *baseline) Done(_ time.Time, request Request, server ServerID, _ Result) {
	b.recordDone(&request, server)
}

func roundRobin(b *baseline, _ *Request, _ []*serverState, eligible []int) int {
	b.cursor++
	return eligible[b.cursor%len(eligible)]
}

func leastInFlight(b *baseline, _ *Request, states []*serverState, eligible []int) int {
	b.cursor++
	best := eligible[b.cursor%len(eligible)]
	for _, i := range eligible {
		if states[i].inFlight < states[best].inFlight {
			best = i
		}
	}
	return best
}

func rendezvous(_ *baseline, request *Request, states []*serverState, eligible []int) int {
	chat := hashString(request.Chat)
	best := eligible[0]
	bestScore := -1.0
	for _, i := range eligible {
		if score := rendezvousScore(chat, states[i].hash, 1); score > bestScore {
			best, bestScore = i, score
		}
	}
	return best
}
