package fakebackend

import (
	"context"
	"sync"
	"time"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/actor"
)

// driver runs an engine in real time and publishes its load and cache events. It is safe
// for concurrent use.
type driver struct {
	mu       sync.Mutex
	engine   *engine
	slow     slowSchedule
	faults   *faultSwitch
	feed     eventFeed
	history  loadHistory
	counters Stats
	wake     chan struct{}
}

func newDriver(config Config, faults *faultSwitch) *driver {
	return &driver{
		engine:  newEngine(config.Timing(), config.Slots, config.CacheTokens),
		slow:    slowSchedule{factor: config.SlowFactor, every: config.SlowEvery, duration: config.SlowFor, random: config.random(streamSlow)},
		faults:  faults,
		feed:    eventFeed{delay: config.EventDelay, loss: config.EventLoss, random: config.random(streamEvents)},
		history: loadHistory{lag: config.ReportLag},
		wake:    make(chan struct{}, 1),
	}
}

// run runs the engine's steps until ctx ends.
func (d *driver) run(ctx context.Context) error {
	next := time.Now()
	for {
		length, busy := d.beginStep(time.Now())
		if !busy {
			if !d.waitForWork(ctx) {
				return nil
			}
			next = time.Now()
			continue
		}
		// The end of a step is computed from the end of the one before, so that timer
		// delays do not accumulate.
		next = next.Add(length)
		if !actor.Sleep(ctx, time.Until(next)) {
			return nil
		}
		d.finishStep(time.Now())
	}
}

func (d *driver) beginStep(now time.Time) (length time.Duration, busy bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.engine.idle() {
		return 0, false
	}
	factor := d.slow.factorAt(now) * d.faults.slowFactor()
	return time.Duration(factor * float64(d.engine.beginStep())), true
}

func (d *driver) finishStep(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.engine.finishStep()
	d.publish(now)
}

func (d *driver) publish(now time.Time) {
	for _, change := range d.engine.takeChanges() {
		d.feed.add(now, change)
	}
}

func (d *driver) waitForWork(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-d.wake:
		return true
	}
}

// submit queues a job in the engine and wakes the driver.
func (d *driver) submit(j *job) {
	j.ready = make(chan struct{}, j.tokensLeft)
	d.mu.Lock()
	d.engine.submit(j)
	d.counters.Submitted++
	d.mu.Unlock()
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// complete counts an answered job and stores its answer in the prefix cache.
func (d *driver) complete(j *job, answer string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.engine.cacheTurn(j, segmentOf(api.ChatMessage{Role: "assistant", Content: answer}))
	d.publish(time.Now())
	d.counters.Completed++
	d.counters.PromptTokens += tokensOf(j.prompt)
	d.counters.CachedTokens += j.cached
}

// cancel removes a job that will not be answered.
func (d *driver) cancel(j *job) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.engine.cancel(j)
	d.counters.Cancelled++
}

// report records the load and returns the load to report, which lags behind, and the cache
// events that are due.
func (d *driver) report(now time.Time, load int) (int, []api.CacheEvent) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.history.record(now, load), d.feed.takeDue(now)
}

func (d *driver) stats() Stats {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := d.counters
	out.Running, out.Waiting = len(d.engine.running), len(d.engine.waiting)
	out.CacheTokens = d.engine.cache.tokens
	return out
}
