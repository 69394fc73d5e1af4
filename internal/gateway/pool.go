package gateway

import (
	"container/heap"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/fleetsync"
	"peridotwinch.example/peridotwinch/internal/placement"
	"peridotwinch.example/peridotwinch/internal/registry"
)

// Constants of waiting for a place.
const (
	// waitShare is the share of a route's objective that a request may wait for a
	// place: what waits longer has no time left to be answered in.
	waitShare = 0.3
	// wakeEvery is how often waiting requests look for a place that no request of
	// this router has freed: the servers' loads change by other routers too.
	wakeEvery = 20 * time.Millisecond
)

// pool is the servers of a pool with the requests that wait for them.
type pool struct {
	mu      sync.Mutex
	place   *placement.Pool
	budget  *placement.RetryBudget
	metrics *gatewayMetrics
	waiting waitQueue
	order   uint64
	ticking bool
}

func newPool(engine bool, m *gatewayMetrics) *pool {
	return &pool{place: placement.NewPool(engine), budget: placement.NewRetryBudget(time.Now()), metrics: m}
}

// pools holds the pools by name.
type pools struct {
	mu     sync.Mutex
	byName map[string]*pool
	// servers is the newest list, for pools that a route table names later.
	servers map[string][]placement.ServerInfo
	metrics *gatewayMetrics
}

func newPools(m *gatewayMetrics) *pools {
	return &pools{metrics: m, byName: make(map[string]*pool), servers: make(map[string][]placement.ServerInfo)}
}

// get returns the pool with the name.
func (p *pools) get(name string, engine bool) *pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	found := p.byName[name]
	if found == nil {
		found = newPool(engine, p.metrics)
		found.place.SetServers(p.servers[name])
		p.byName[name] = found
	}
	return found
}

// setServers takes the servers that control knows. Those that drain get no further
// request, but others may copy from them.
func (p *pools) setServers(entries []registry.Entry) {
	servers := make(map[string][]placement.ServerInfo)
	for _, e := range entries {
		if e.State == registry.StateGone {
			continue
		}
		servers[e.Pool] = append(servers[e.Pool], placement.ServerInfo{
			ID: e.ID, Address: e.Address, Domain: e.Domain, Slots: e.Slots, Silent: e.Silent, Hash: e.Hash(),
			Draining: e.State == registry.StateDraining,
		})
	}
	p.mu.Lock()
	p.servers = servers
	known := make(map[string]*pool, len(p.byName))
	for name, found := range p.byName {
		known[name] = found
	}
	p.mu.Unlock()
	for name, found := range known {
		found.mu.Lock()
		found.place.SetServers(servers[name])
		found.grant(time.Now())
		found.mu.Unlock()
	}
}

// lease is a place on a server.
type lease struct {
	*placement.Server
	// server, address are copies: the fields of Server belong to the pool.
	id      string
	address string
	pool    *pool
	sent    time.Time
	done    bool
	choice  placement.Choice
	// copyFrom is the address of a server that may keep the prompt's parts.
	copyFrom string
}

// acquire waits for a place until limit. CodeNoBackendServer and CodeOverloaded
// say that there is none; the request has not been sent then.
func (p *pool) acquire(ctx context.Context, request placement.Request, priority int, limit time.Duration) (*lease, error) {
	now := time.Now()
	p.mu.Lock()
	if p.place.Size() == 0 {
		p.mu.Unlock()
		return nil, api.Errorf(api.CodeNoBackendServer, "the pool has no ready server")
	}
	if s := p.place.Choose(request, now); s != nil {
		p.place.RecordSend(s, now)
		l := p.lease(s, request, now)
		p.mu.Unlock()
		return l, nil
	}
	if limit <= 0 {
		p.mu.Unlock()
		return nil, api.Errorf(api.CodeOverloaded, "no server has room")
	}
	p.order++
	w := &waiter{
		request: request, priority: priority, until: now.Add(limit), order: p.order,
		granted: make(chan *placement.Server, 1),
	}
	heap.Push(&p.waiting, w)
	p.startTicking()
	p.mu.Unlock()
	return p.await(ctx, w)
}

func (p *pool) await(ctx context.Context, w *waiter) (*lease, error) {
	timer := time.NewTimer(time.Until(w.until))
	defer timer.Stop()
	var err error
	select {
	case s := <-w.granted:
		return p.leaseGranted(s, w.request), nil
	case <-timer.C:
		err = api.Errorf(api.CodeOverloaded, "no server had room in time")
	case <-ctx.Done():
		err = context.Cause(ctx)
	}
	p.mu.Lock()
	p.waiting.remove(w)
	p.mu.Unlock()
	select {
	case s := <-w.granted:
		// The place came at the last moment.
		return p.leaseGranted(s, w.request), nil
	default:
		return nil, err
	}
}

// leaseGranted returns the lease of a place that grant has taken already.
func (p *pool) leaseGranted(s *placement.Server, request placement.Request) *lease {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lease(s, request, time.Now())
}

// lease returns the lease of a place that was taken; mu is held.
func (p *pool) lease(s *placement.Server, request placement.Request, now time.Time) *lease {
	return &lease{
		Server: s, id: s.ID, address: s.Address, pool: p, sent: now, choice: s.Choice,
		copyFrom: p.place.CopySource(s, request, now),
	}
}

// grant gives free places to waiting requests; mu is held.
func (p *pool) grant(now time.Time) {
	for p.waiting.Len() > 0 {
		w := heap.Pop(&p.waiting).(*waiter)
		s := p.place.Choose(w.request, now)
		if s == nil {
			heap.Push(&p.waiting, w)
			return
		}
		p.place.RecordSend(s, now)
		w.granted <- s
	}
}

// startTicking looks for places while requests wait; mu is held.
func (p *pool) startTicking() {
	if p.ticking {
		return
	}
	p.ticking = true
	go func() {
		ticker := time.NewTicker(wakeEvery)
		defer ticker.Stop()
		for now := range ticker.C {
			p.mu.Lock()
			p.grant(now)
			p.ticking = p.waiting.Len() > 0
			done := !p.ticking
			p.mu.Unlock()
			if done {
				return
			}
		}
	}()
}

// told notes what the server told of its load with an answer.
func (l *lease) told(load *placement.Load) {
	if load == nil {
		return
	}
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	at := *load
	at.At = time.Now()
	l.pool.place.RecordLoad(l.Server, at)
}

// paced notes the mean time between two events of a stream.
func (l *lease) paced(interval time.Duration) {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	l.pool.place.RecordEventInterval(l.Server, interval, time.Now())
}

// end gives the place back. Further calls do nothing.
func (l *lease) end(result placement.Result) {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	if l.done {
		return
	}
	l.done = true
	l.pool.metrics.sendEnded(l.Domain, result.Kind)
	now := time.Now()
	l.pool.place.RecordResult(l.Server, result, now)
	l.pool.grant(now)
}

// mayRepeat reports whether the pool's budget has a repeat left, and takes it.
func (p *pool) mayRepeat() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budget.Spend(time.Now())
}

func (p *pool) waitingCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.waiting.Len()
}

func (p *pool) repeatsLeft() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budget.Available(time.Now())
}

func (p *pool) countRequest() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget.Earn(time.Now())
}

// unreachable returns the servers that need a connection to tell whether they can
// be reached again.
func (p *pool) unreachable(now time.Time) []*placement.Server {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.place.ServersToProbe(now)
}

func (p *pool) notReached(s *placement.Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.place.RecordConnectFailure(s, time.Now())
}

func (p *pool) reached(s *placement.Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.place.RecordConnectSuccess(s, now)
	p.grant(now)
}

// all returns the pools that requests have used.
func (p *pools) all() []*pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Collect(maps.Values(p.byName))
}

// newLoads adds the loads that came with answers since the last call.
func (p *pool) newLoads(out map[uint64]fleetsync.ServerLoad) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for hash, load := range p.place.NewLoads() {
		out[hash] = fleetsync.ServerLoad{Requests: load.Running + load.Waiting, At: load.At}
	}
}

// learn takes loads that servers told other routers.
func (p *pool) learn(loads map[uint64]fleetsync.ServerLoad) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for hash, load := range loads {
		p.place.RecordPeerLoad(hash, placement.Load{Running: load.Requests, At: load.At})
	}
	p.grant(time.Now())
}
