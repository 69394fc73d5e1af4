package load

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// runner executes one mix against the targets.
type runner struct {
	mix      *Mix
	targets  *Targets
	sender   *sender
	tally    *tally
	started  time.Time
	requests sync.WaitGroup

	mu       sync.Mutex
	chats    *chatPopulation
	inFlight int
	sent     int
}

// Run sends the mix to the targets and returns the measurements. If ctx ends early,
// Run reports what it has measured until then. It returns an error if the metrics
// of a router cannot be read.
func Run(ctx context.Context, mix *Mix, targets *Targets) (*Report, error) {
	before, err := scrapeAll(ctx, targets)
	if err != nil {
		return nil, err
	}
	samplingCtx, stopSampling := context.WithCancel(ctx)
	defer stopSampling()
	meter := newSkewMeter(targets.Backends)
	var sampling sync.WaitGroup
	sampling.Go(func() { meter.run(samplingCtx) })
	r := &runner{
		mix: mix, targets: targets, sender: newSender(), tally: newTally(mix),
		started: time.Now(), chats: newChatPopulation(mix, targets.domains()),
	}
	r.sendAll(ctx)
	stopSampling()
	sampling.Wait()
	r.requests.Wait()
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

// scrapeAll reads the counters of each router; those of a router without a platform
// address are nil.
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

// sendAll starts each arrival at its planned time, independently of the requests in
// progress (open loop).
func (r *runner) sendAll(ctx context.Context) {
	plan := newPlan(r.mix)
	for {
		a, ok := plan.next()
		if !ok || !r.sleepUntil(ctx, a.at) {
			return
		}
		r.startRequest(ctx, a)
	}
}

// sleepUntil waits until a time after the start and reports whether ctx is still
// active.
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

// startRequest sends an arrival in the background. It drops the arrival if the
// limit of requests in progress is reached.
func (r *runner) startRequest(ctx context.Context, a arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.inFlight >= r.maxInFlight() {
		r.tally.addDropped()
		return
	}
	r.inFlight++
	r.sent++
	c := r.chats.chatFor(a)
	e := exchange{
		router: r.routerFor(c, a), chat: c, planned: r.started.Add(a.at),
		id: fmt.Sprintf("load-%d-%d-%d", r.mix.Seed, r.started.UnixNano(), r.sent),
	}
	r.requests.Go(func() { r.finishRequest(a, c, r.sender.send(ctx, e)) })
}

func (r *runner) maxInFlight() int {
	if r.mix.MaxInFlight == 0 {
		return DefaultMaxInFlight
	}
	return r.mix.MaxInFlight
}

// routerFor returns the router that receives the request, as the load balancer of
// the platform would select it.
func (r *runner) routerFor(c *chat, a arrival) RouterTarget {
	routers := r.targets.Routers
	if a.inHomeDomain {
		routers = r.targets.routersInDomain(c.homeDomain)
	}
	return routers[a.routerDraw%uint64(len(routers))]
}

// finishRequest records a result. A chat continues only after a successful answer.
func (r *runner) finishRequest(a arrival, c *chat, res result) {
	r.tally.add(a, c, c.reusableTokens, res)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight--
	if res.failure != nil {
		return
	}
	c.affinity = res.affinity
	c.recordAnswer(res.answer, res.usage)
	r.chats.pause(c, a, time.Since(r.started))
}
