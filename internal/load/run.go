package load

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// runner sends one mix.
type runner struct {
	mix     *Mix
	targets *Targets
	sender  *sender
	tally   *tally
	started time.Time
	wait    sync.WaitGroup

	mu       sync.Mutex
	chats    *population
	inFlight int
	sent     int
}

// Run sends the mix to the targets and returns what it measured. A run that ctx
// ends reports what it has.
func Run(ctx context.Context, mix *Mix, targets *Targets) (*Report, error) {
	before, err := scrapeAll(ctx, targets)
	if err != nil {
		return nil, err
	}
	watchCtx, stopWatching := context.WithCancel(ctx)
	defer stopWatching()
	meter := newSkewMeter(targets.Backends)
	var watching sync.WaitGroup
	watching.Go(func() { meter.run(watchCtx) })
	r := &runner{
		mix: mix, targets: targets, sender: newSender(), tally: newTally(mix),
		started: time.Now(), chats: newPopulation(mix, targets.domains()),
	}
	r.sendAll(ctx)
	stopWatching()
	watching.Wait()
	r.wait.Wait()
	after, err := scrapeAll(context.WithoutCancel(ctx), targets)
	if err != nil {
		return nil, err
	}
	report := r.tally.report()
	report.Skew = meter.report()
	for i, router := range targets.Routers {
		if before[i] != nil {
			report.Routers = append(report.Routers, after[i].Since(before[i], router.Name))
		}
	}
	return report, nil
}

func scrapeAll(ctx context.Context, targets *Targets) ([]*Counters, error) {
	out := make([]*Counters, len(targets.Routers))
	for i, router := range targets.Routers {
		if router.Platform == "" {
			continue
		}
		counters, err := ReadCounters(ctx, router.Platform)
		if err != nil {
			return nil, err
		}
		out[i] = counters
	}
	return out, nil
}

// sendAll sends each arrival at its planned time, whatever became of the others.
func (r *runner) sendAll(ctx context.Context) {
	plan := newPlan(r.mix)
	for {
		a, ok := plan.next()
		if !ok || !r.sleepUntil(ctx, a.at) {
			return
		}
		r.start(ctx, a)
	}
}

func (r *runner) sleepUntil(ctx context.Context, at time.Duration) bool {
	timer := time.NewTimer(time.Until(r.started.Add(at)))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// start sends an arrival in the background, or drops it where too many are in
// progress.
func (r *runner) start(ctx context.Context, a arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.inFlight >= r.maxInFlight() {
		r.tally.drop()
		return
	}
	r.inFlight++
	r.sent++
	c := r.chats.take(a)
	e := exchange{
		router: r.routerOf(c, a), chat: c, planned: r.started.Add(a.at),
		id: fmt.Sprintf("load-%d-%d-%d", r.mix.Seed, r.started.UnixNano(), r.sent),
	}
	r.wait.Go(func() { r.finish(a, c, r.sender.send(ctx, e)) })
}

func (r *runner) maxInFlight() int {
	if r.mix.MaxInFlight == 0 {
		return DefaultMaxInFlight
	}
	return r.mix.MaxInFlight
}

// routerOf returns the router at which the platform's balancer lets a request in.
func (r *runner) routerOf(c *chat, a arrival) RouterTarget {
	routers := r.targets.Routers
	if a.home {
		routers = r.targets.inDomain(c.home)
	}
	return routers[a.router%uint64(len(routers))]
}

func (r *runner) finish(a arrival, c *chat, out result) {
	r.tally.add(a, c, c.reusable, out)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight--
	if out.failure != nil {
		return
	}
	c.affinity = out.affinity
	c.answered(out.answer, out.usage)
	r.chats.giveBack(c, a, time.Since(r.started))
}
