package relay_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/internal/relay"
)

// fleet plays the decisions of sources and routers in virtual time, in steps of one attempt.
type fleet struct {
	t       *testing.T
	random  *rand.Rand
	now     time.Time
	control map[string]*process
	routers map[string]*process
	order   []string
}

// process is a control replica or a router.
type process struct {
	subscriber relay.Subscriber
	admission  *relay.Admission
	selector   *relay.Selector
	alive      bool
	// frozen processes answer nothing, and their sources believe that they still follow.
	frozen   bool
	source   string
	streamID uint64
	// waited is the number of steps for which the source has had no path to control.
	waited int
}

// maxWaitedSteps is the number of steps after which a router leaves a living source without
// a path to control; its events are stale by then.
const maxWaitedSteps = 8

func newFleet(t *testing.T, seed uint64, controls, routers, domains int) *fleet {
	f := &fleet{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(0, 0),
		control: make(map[string]*process), routers: make(map[string]*process),
	}
	var addresses []string
	for i := range controls {
		address := fmt.Sprintf("control-%d", i)
		addresses = append(addresses, address)
		f.control[address] = &process{admission: relay.NewAdmission(controlLimits), alive: true}
	}
	for i := range routers {
		address := fmt.Sprintf("router-%d", i)
		f.order = append(f.order, address)
		f.routers[address] = &process{
			subscriber: relay.Subscriber{Instance: address, FailureDomain: fmt.Sprintf("domain-%d", i%domains), Address: address},
			admission:  relay.NewAdmission(routerLimits), selector: relay.NewSelector(address, addresses), alive: true,
		}
	}
	return f
}

func (f *fleet) find(address string) *process {
	if p := f.control[address]; p != nil {
		return p
	}
	return f.routers[address]
}

// path returns the path to a process, or nil if it does not lead to a living control replica.
func (f *fleet) path(address string) relay.Path {
	var reversed relay.Path
	for steps := 0; address != "" && steps < 10; steps++ {
		p := f.find(address)
		if !p.alive || p.frozen {
			return nil
		}
		reversed = append(reversed, address)
		if f.control[address] != nil {
			out := make(relay.Path, 0, len(reversed))
			for i := range reversed {
				out = append(out, reversed[len(reversed)-1-i])
			}
			return out
		}
		address = p.source
	}
	return nil
}

// step lets every router without a path to control make one attempt, in random order.
func (f *fleet) step() (lost int) {
	f.now = f.now.Add(100 * time.Millisecond)
	f.random.Shuffle(len(f.order), func(i, j int) { f.order[i], f.order[j] = f.order[j], f.order[i] })
	for _, address := range f.order {
		p := f.routers[address]
		if !p.alive || p.frozen || f.path(address) != nil && len(f.path(address)) <= relay.MaxKeptDepth+1 {
			continue
		}
		lost++
		if source := f.routers[p.source]; source != nil && source.alive && !source.frozen && f.path(address) == nil && p.waited < maxWaitedSteps {
			p.waited++
			continue
		}
		p.waited = 0
		f.attempt(address, p)
	}
	return lost
}

func (f *fleet) attempt(address string, p *process) {
	if p.source != "" {
		_, wasRelay := f.routers[p.source]
		f.leave(p)
		if wasRelay {
			p.selector.Failed(relay.Source{Address: p.source, IsRelay: true}, f.now)
		} else {
			p.selector.Failed(relay.Source{Address: p.source}, f.now)
		}
		p.source = ""
	}
	next := p.selector.Next(f.now)
	target := f.find(next.Address)
	if !target.alive || target.frozen {
		p.selector.Failed(next, f.now)
		return
	}
	path := f.path(next.Address)
	if path == nil {
		p.selector.Refused(next, f.now)
		return
	}
	if !path.CanAdmit(address) {
		p.selector.RefusedForPath()
		return
	}
	verdict := target.admission.Decide(p.subscriber, p.selector.FailedRelays(f.now))
	switch {
	case verdict.Admitted:
		p.source, p.streamID = next.Address, verdict.ID
		p.selector.Followed(next)
	case len(verdict.Redirect) > 0 && path.CanRedirect():
		p.selector.Redirect(verdict.Redirect)
	default:
		p.selector.Refused(next, f.now)
	}
}

// leave ends the subscription of a process, unless its source is frozen and cannot tell.
func (f *fleet) leave(p *process) {
	if source := f.find(p.source); source != nil && !source.frozen {
		source.admission.Remove(p.streamID)
	}
}

// settle steps until all living routers have a path, and returns the number of steps.
func (f *fleet) settle() int {
	g := NewWithT(f.t)
	for steps := 1; ; steps++ {
		if f.step() == 0 {
			return steps
		}

		g.Expect(steps).To(BeNumerically("<", 200), "routers without a source")
	}
}

// expectBounds checks what holds whenever the fleet has settled.
func (f *fleet) expectBounds(maxDirect int) {
	g := NewWithT(f.t)
	for address, p := range f.control {
		if p.alive {
			g.Expect(p.admission.Len()).To(BeNumerically("<=", maxDirect), "subscriptions at %s", address)
		}
	}
	for address, p := range f.routers {
		if !p.alive || p.frozen {
			continue
		}
		g.Expect(len(f.path(address))-1).To(BeNumerically("<=", relay.MaxKeptDepth), "depth of %s", address)
		g.Expect(p.admission.Len()).To(BeNumerically("<=", routerLimits.Max))
	}
}

// TestFleetsOfManySizesSettle plays the start of all, the loss of a control replica, and frozen
// and killed relays, in fleets of up to 1,000 routers. The bound on the steps until all
// routers have a source again is 2.5 s, the time within which a change takes effect in the
// grown deployments.
func TestFleetsOfManySizesSettle(t *testing.T) {
	for _, size := range []struct{ controls, routers, domains, maxDirect, maxSteps int }{
		{3, 7, 3, 8, 25}, {6, 80, 3, 16, 25}, {5, 89, 5, 16, 25}, {5, 295, 5, 16, 25}, {5, 370, 24, 64, 25}, {5, 1000, 5, 16, 25},
	} {
		worst := make(map[string]int)
		for seed := range uint64(20) {
			f := newFleet(t, seed, size.controls, size.routers, size.domains)
			play := func(event string) {
				steps := f.settle()
				NewWithT(t).Expect(steps).To(BeNumerically("<=", size.maxSteps), "%s, %d routers, seed %d", event, size.routers, seed)
				f.expectBounds(size.maxDirect)
				worst[event] = max(worst[event], steps)
			}
			play("start")
			f.control["control-0"].alive = false
			play("loss of a control replica")
			f.freezeRelays(size.routers / 30)
			play("frozen relays")
			f.killRelays()
			play("loss of all relays")
		}
		t.Logf("%d routers, %d failure domains: steps of 0.1 s at worst: %v", size.routers, size.domains, worst)
	}
}

// freezeRelays freezes some relays.
func (f *fleet) freezeRelays(count int) {
	for _, address := range f.order {
		if p := f.routers[address]; p.admission.Len() > 0 && count > 0 {
			p.frozen = true
			count--
		}
	}
}

// killRelays ends all relays for good.
func (f *fleet) killRelays() {
	for _, p := range f.routers {
		if p.admission.Len() > 0 {
			f.leave(p)
			p.alive, p.source, p.admission = false, "", relay.NewAdmission(routerLimits)
		}
	}
}
