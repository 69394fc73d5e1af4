package fakebackend

import (
	"context"
	"sync"
	"time"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/actor"
)

// driver runs an engine in real time. It is safe for concurrent use.
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

// run steps the engine until ctx ends.
func (d *driver) run(ctx context.Context) error {
	next := time.Now()
	for {
		length, busy := d.begin(time.Now())
		if !busy {
			if !d.waitForWork(ctx) {
				return nil
			}
			next = time.Now()
			continue
		}
		// Steps follow each other without the timer's lateness adding up.
		next = next.Add(length)
		if !actor.Sleep(ctx, time.Until(next)) {
			return nil
		}
		d.finish(time.Now())
	}
}

func (d *driver) begin(now time.Time) (length time.Duration, busy bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.engine.idle() {
		return 0, false
	}
	factor := d.slow.at(now) * d.faults.slowFactor()
	return time.Duration(factor * float64(d.engine.begin())), true
}

func (d *driver) finish(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.engine.finish()
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

// submit starts a job and returns it.
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

// complete counts a job that was answered and keeps its answer in the cache.
func (d *driver) complete(j *job, answer string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.engine.remember(j, segmentOf(api.ChatMessage{Role: "assistant", Content: answer}))
	d.publish(time.Now())
	d.counters.Completed++
	d.counters.PromptTokens += tokensOf(j.prompt)
	d.counters.CachedTokens += j.cached
}

// cancel drops a job whose caller left.
func (d *driver) cancel(j *job) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.engine.cancel(j)
	d.counters.Cancelled++
}

// report returns the load report and the cache events that are due.
func (d *driver) report(now time.Time, load int) (int, []api.CacheEvent) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.history.report(now, load), d.feed.take(now)
}

func (d *driver) stats() Stats {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := d.counters
	out.Running, out.Waiting = len(d.engine.running), len(d.engine.waiting)
	out.CacheTokens = d.engine.cache.tokens
	return out
}
