package gateway

import (
	"container/heap"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/placement"
	"peridotwinch.example/peridotwinch/internal/ratelimit"
	"peridotwinch.example/peridotwinch/internal/registry"
	"peridotwinch.example/peridotwinch/internal/routetable"
	"peridotwinch.example/peridotwinch/internal/slotrpc"
)

// Constants of the request queue.
const (
	// queueTimeoutShare is the share of a route's latency objective that a request may be
	// queued. A request that is queued for longer has too little time left for an answer.
	queueTimeoutShare = 0.3
	// grantInterval is how often the queue is checked for free slots that no request of this
	// router released: other routers change the servers' loads too.
	grantInterval = 20 * time.Millisecond
)

// pool is the servers of a pool and the queue of requests for them.
type pool struct {
	mu            sync.Mutex
	servers       *placement.Pool
	retryBudget   *placement.RetryBudget
	metrics       *gatewayMetrics
	queue         requestQueue
	lastSequence  uint64
	tickerRunning bool
}

func newPool(servers *placement.Pool, m *gatewayMetrics) *pool {
	return &pool{servers: servers, retryBudget: placement.NewRetryBudget(time.Now()), metrics: m}
}

// pools holds the pools by name.
type pools struct {
	mu     sync.Mutex
	byName map[string]*pool
	// servers is the latest list by pool, for pools that a later route table adds.
	servers map[string][]placement.ServerInfo
	// position is the router's place among all routers since positionedAt.
	position     ratelimit.Position
	positionedAt time.Time
	// evacuated are the failure domains whose servers receive no requests.
	evacuated []string
	// returnedAt has when the router learned that the evacuation of a domain was withdrawn.
	returnedAt map[string]time.Time
	metrics    *gatewayMetrics
	// warmup has the overage and the slack of warm-up limits.
	warmup ratelimit.Warmup
	// separatePrompts is whether long and short prompts prefer different servers.
	separatePrompts bool
}

func newPools(m *gatewayMetrics) *pools {
	return &pools{metrics: m, byName: make(map[string]*pool), servers: make(map[string][]placement.ServerInfo), returnedAt: make(map[string]time.Time)}
}

// get returns the named pool, with the configuration of the table in force, and creates it if needed.
func (p *pools) get(name string, config *routetable.Pool) *pool {
	warmup := p.warmupOf(config)
	found := p.getOrCreate(name, config != nil && config.Engine, warmup)
	found.setWarmup(warmup)
	return found
}

func (p *pools) getOrCreate(name string, engine bool, warmup ratelimit.Warmup) *pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	found := p.byName[name]
	if found == nil {
		now := time.Now()
		found = newPool(p.newServers(engine), p.metrics)
		found.servers.SetWarmup(warmup, now)
		found.servers.SetPosition(p.position, p.positionedAt)
		found.servers.SetEvacuated(p.evacuated, nil, now)
		found.servers.SetServers(p.servers[name], now)
		for domain, returnedAt := range p.returnedAt {
			found.servers.MarkDomainWarming(domain, returnedAt)
		}
		p.byName[name] = found
	}
	return found
}

// setServers replaces the servers by the list from control. Draining servers receive no
// new request, but other servers may copy prompt parts from them.
func (p *pools) setServers(entries []registry.Entry) {
	servers := make(map[string][]placement.ServerInfo)
	for _, e := range entries {
		if e.State == registry.StateGone {
			continue
		}
		servers[e.Pool] = append(servers[e.Pool], placement.ServerInfo{
			ID: e.ID, Address: e.Address, Domain: e.Domain, Slots: e.Slots, Silent: e.Silent, Hash: e.Hash(),
			Draining: e.State == registry.StateDraining, StartedMS: e.StartedMS,
			AppearedAt: e.AppearedAt, HeardAt: e.LastAnnounced, WarmupUntil: e.WarmupUntil,
		})
	}
	p.mu.Lock()
	p.servers = servers
	known := maps.Clone(p.byName)
	p.mu.Unlock()
	for name, found := range known {
		found.mu.Lock()
		now := time.Now()
		found.servers.SetServers(servers[name], now)
		found.serveQueued(now)
		found.mu.Unlock()
	}
}

// lease is one request's slot on a server.
type lease struct {
	*placement.Server
	// id and address are copies: the pool's mutex guards the fields of Server.
	id      string
	address string
	// hash identifies the incarnation of the server.
	hash     uint64
	pool     *pool
	sentAt   time.Time
	released bool
	// reserved is set while the request has a reservation at a server that is warming up.
	reserved bool
	choice   placement.Choice
	// slot is the slot that other routers know of, if the pool's slots are shared.
	slot slotrpc.Slot
	// copyFrom is the address of a server that may cache the prompt's parts.
	copyFrom string
}

// acquire takes a slot on a server and queues the request for up to queueTimeout if none
// is free. It fails with an error of checkNotEmpty, with CodeOverloaded on timeout and with the
// context's cause; the request has then not been sent.
func (p *pool) acquire(ctx context.Context, request placement.Request, priority int, queueTimeout time.Duration) (*lease, error) {
	now := time.Now()
	p.mu.Lock()
	if err := p.checkNotEmpty(now); err != nil {
		p.mu.Unlock()
		return nil, err
	}
	if s := p.servers.Choose(request, now); s != nil {
		l := p.newLease(p.take(s, now), request, now)
		p.mu.Unlock()
		return l, nil
	}
	if err := p.checkAvailable(now.Add(queueTimeout), now); err != nil {
		p.mu.Unlock()
		return nil, err
	}
	if queueTimeout <= 0 {
		p.mu.Unlock()
		return nil, api.Errorf(api.CodeOverloaded, "no server has a free slot")
	}
	p.lastSequence++
	w := &waiter{
		request: request, priority: priority, deadline: now.Add(queueTimeout), sequence: p.lastSequence,
		granted: make(chan grant, 1),
	}
	heap.Push(&p.queue, w)
	p.startGrantTicker()
	p.mu.Unlock()
	return p.awaitGrant(ctx, w)
}

// newLease returns the lease of a taken slot; mu is held.
func (p *pool) newLease(granted grant, request placement.Request, now time.Time) *lease {
	s := granted.server
	return &lease{
		reserved: granted.reserved, Server: s, id: s.ID, address: s.Address, hash: s.Hash, pool: p, sentAt: now, choice: s.Choice,
		copyFrom: p.servers.CopySource(s, request, now),
	}
}

// grantQueued grants free slots to queued requests in queue order; mu is held.
func (p *pool) grantQueued(now time.Time) {
	p.refuseEvacuated()
	for p.queue.Len() > 0 {
		w := heap.Pop(&p.queue).(*waiter)
		s := p.servers.Choose(w.request, now)
		if s == nil {
			heap.Push(&p.queue, w)
			return
		}
		w.granted <- p.take(s, now)
	}
}

// startGrantTicker checks for free slots periodically while requests are queued; mu is held.
func (p *pool) startGrantTicker() {
	if p.tickerRunning {
		return
	}
	p.tickerRunning = true
	go func() {
		ticker := time.NewTicker(grantInterval)
		defer ticker.Stop()
		for range ticker.C {
			p.mu.Lock()
			p.grantQueued(time.Now())
			p.tickerRunning = p.queue.Len() > 0
			done := !p.tickerRunning
			p.mu.Unlock()
			if done {
				return
			}
		}
	}()
}

// recordLoad records the load that the server reported in an answer, if any.
func (l *lease) recordLoad(load *placement.Load) {
	if load == nil {
		return
	}
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	report := *load
	report.At = time.Now()
	l.pool.servers.RecordLoad(l.Server, report)
}

// recordWithdrawal records what the server stated about itself, and reports which statements
// are news.
func (l *lease) recordWithdrawal(leaving bool, pause time.Duration) (isLeaving, isPaused bool) {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	now := time.Now()
	if leaving {
		isLeaving = l.pool.servers.MarkLeaving(l.hash, now)
	}
	if pause > 0 {
		isPaused = l.pool.servers.Pause(l.hash, now.Add(pause), now)
		l.pool.refuseQueued(now)
	}
	return isLeaving, isPaused
}

// recordEventInterval records the mean time between two events of a stream.
func (l *lease) recordEventInterval(interval time.Duration) {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	l.pool.servers.RecordEventInterval(l.Server, interval, time.Now())
}

// spendRetry reports whether the pool's retry budget allows a retry, and spends it.
func (p *pool) spendRetry() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.retryBudget.Spend(time.Now())
}

// withdrawn returns how many servers are leaving or paused.
func (p *pool) withdrawn() (leaving, paused int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.servers.Withdrawn(time.Now())
}

func (p *pool) queueLength() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.queue.Len()
}

func (p *pool) availableRetries() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.retryBudget.Available(time.Now())
}

func (p *pool) earnRetry() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retryBudget.Earn(time.Now())
}

func (p *pool) recordConnectFailure(s *placement.Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.servers.RecordConnectFailure(s, time.Now())
}

func (p *pool) recordConnectSuccess(s *placement.Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.servers.RecordConnectSuccess(s, now)
	p.serveQueued(now)
}

// list returns the pools that requests have used, in no particular order.
func (p *pools) list() []*pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Collect(maps.Values(p.byName))
}
