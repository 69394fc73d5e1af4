package balance

import (
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"peridotwinch.example/peridotwinch/internal/settings"
)

// New returns a balancer of the named policy that draws random numbers from
// random. It fails where there is no such policy.
func New(policy settings.Policy, random *rand.Rand) (Balancer, error) {
	switch policy {
	case settings.PolicyProduct:
		return NewBounded(random), nil
	case settings.PolicyRandom:
		return newBaseline(func(b *baseline, _ *Request, _ []*serverState, allowed []int) int {
			return allowed[random.IntN(len(allowed))]
		}), nil
	case settings.PolicyRoundRobin:
		return newBaseline(roundRobin), nil
	case settings.PolicyLeastInFlight:
		return newBaseline(leastInFlight), nil
	case settings.PolicyRendezvous:
		return newBaseline(rendezvous), nil
	case settings.PolicyTwoChoices:
		return newBaseline(func(b *baseline, _ *Request, states []*serverState, allowed []int) int {
			first, second := allowed[random.IntN(len(allowed))], allowed[random.IntN(len(allowed))]
			if states[second].inFlight < states[first].inFlight {
				return second
			}
			return first
		}), nil
	}
	return nil, errors.Errorf("unknown routing policy %q", policy)
}

// chooser returns one of the allowed indices into states.
type chooser func(b *baseline, request *Request, states []*serverState, allowed []int) int

// baseline is a policy that chooses among all servers with a free slot.
type baseline struct {
	tracker
	choose  chooser
	next    int
	allowed []int
}

func newBaseline(choose chooser) *baseline { return &baseline{tracker: newTracker(), choose: choose} }

// Pick implements Balancer.
func (b *baseline) Pick(now time.Time, request Request, view *View) (ServerID, bool) {
	states := b.bind(now, view)
	b.allowed = b.allowed[:0]
	for i := range view.servers {
		if states[i].inFlight < view.servers[i].Slots && !request.excludes(view.servers[i].ID) {
			b.allowed = append(b.allowed, i)
		}
	}
	if len(b.allowed) == 0 {
		return "", false
	}
	chosen := b.choose(b, &request, states, b.allowed)
	b.start(states[chosen], &request)
	return view.servers[chosen].ID, true
}

// Done implements Balancer.
func (b *baseline) Done(_ time.Time, request Request, server ServerID, _ Result) {
	b.done(&request, server)
}

func roundRobin(b *baseline, _ *Request, _ []*serverState, allowed []int) int {
	b.next++
	return allowed[b.next%len(allowed)]
}

func leastInFlight(b *baseline, _ *Request, states []*serverState, allowed []int) int {
	b.next++
	best := allowed[b.next%len(allowed)]
	for _, i := range allowed {
		if states[i].inFlight < states[best].inFlight {
			best = i
		}
	}
	return best
}

func rendezvous(_ *baseline, request *Request, states []*serverState, allowed []int) int {
	chat := hashString(request.Chat)
	best := allowed[0]
	bestScore := -1.0
	for _, i := range allowed {
		if score := rendezvousScore(chat, states[i].hash, 1); score > bestScore {
			best, bestScore = i, score
		}
	}
	return best
}
