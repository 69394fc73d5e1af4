package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"peridotwinch.example/peridotwinch/internal/backend"
	"peridotwinch.example/peridotwinch/internal/bytebudget"
	"peridotwinch.example/peridotwinch/internal/fleetsync"
	"peridotwinch.example/peridotwinch/internal/quarantine"
	"peridotwinch.example/peridotwinch/internal/registry"
	"peridotwinch.example/peridotwinch/internal/routetable"
	"peridotwinch.example/peridotwinch/internal/settings"
	"peridotwinch.example/peridotwinch/internal/slotrpc"
)

// TableSource returns the route table in force, or nil before the first one.
type TableSource interface {
	Table() *routetable.Table
}

const (
	// maintenanceInterval is how often expired connections are closed and unreachable servers
	// are probed.
	maintenanceInterval = 200 * time.Millisecond
	// answerMemoryBytes bounds the sum of the large incomplete stream events of all requests.
	answerMemoryBytes = 24 << 20
)

var (
	errDeadlineExceeded = errors.New("request deadline exceeded")
	errAborted          = errors.New("the router's shutdown aborted the request")
)

// Gateway serves callers. It is safe for concurrent use.
type Gateway struct {
	log    zerolog.Logger
	domain string
	// transitLimit is the longest time that a stream event may take from server to caller; 0
	// disables merging.
	transitLimit time.Duration
	dialect      Dialect
	tableSource  TableSource
	client       *backend.Client
	pools        *pools
	losses       *lossRecorder
	// slots shares the slots of small pools with other routers; nil if they are not shared.
	slots *slotrpc.Node
	// minSharedObjective is the latency objective of a route from which its requests share slots.
	minSharedObjective time.Duration
	metrics            *gatewayMetrics
	startedAt          time.Time
	// answerMemory bounds the memory for incomplete stream events.
	answerMemory *bytebudget.Budget
	// requestMemory bounds the memory for the bodies of requests.
	requestMemory *bytebudget.Budget

	inProgress atomic.Int64
	// drainEnd is when a shutdown aborts the requests in progress; nil before a shutdown.
	drainEnd atomic.Pointer[time.Time]
	abortCtx context.Context
	abort    context.CancelCauseFunc
}

// New returns the gateway of a router in the failure domain. transitLimit is the longest time
// that a stream event may take from server to caller, or 0 to send each event at once. losses is
// the evidence against prompt parts, to which the gateway adds what its requests meet.
// SetTableSource must be called before the gateway serves.
func New(domain string, dialect Dialect, transitLimit time.Duration, losses *quarantine.Store, log zerolog.Logger) *Gateway {
	m := newGatewayMetrics()
	g := &Gateway{
		log: log, domain: domain, transitLimit: transitLimit, dialect: dialect,
		pools: newPools(m), metrics: m, startedAt: time.Now(), answerMemory: bytebudget.New(answerMemoryBytes),
	}
	g.SetRequestMemory(settings.DefaultRequestMemoryBytes)
	g.client = backend.NewClient(backend.Hooks{
		Opened: m.connectionsOpened.Inc, PassedOver: m.connectionsPassedOver.Inc, Dialed: m.recordDial, Evicted: m.connectionsEvicted.Inc,
	})
	g.losses = newLossRecorder(losses, g.client, log)
	g.registerGauges()
	g.abortCtx, g.abort = context.WithCancelCause(context.Background())
	return g
}

// SetTableSource sets the source of the route table.
func (g *Gateway) SetTableSource(tables TableSource) { g.tableSource = tables }

// SetServers replaces the backend servers by the list from control.
func (g *Gateway) SetServers(entries []registry.Entry) {
	if g.slots != nil {
		g.slots.SetServers(entries)
	}
	g.pools.setServers(entries)
}

// TakeLoadReports returns the loads that servers reported in answers since the last call, by
// the servers' hashes.
func (g *Gateway) TakeLoadReports() map[uint64]fleetsync.ServerLoad {
	out := make(map[uint64]fleetsync.ServerLoad)
	for _, p := range g.pools.list() {
		p.takeLoadReports(out)
	}
	return out
}

// RecordPeerLoads records the loads that servers reported to any router, by the servers' hashes.
func (g *Gateway) RecordPeerLoads(loads map[uint64]fleetsync.ServerLoad) {
	for _, p := range g.pools.list() {
		p.recordPeerLoads(loads)
	}
}

// RecordPoolLoads records the sums of the loads of large pools.
func (g *Gateway) RecordPoolLoads(pools map[string]fleetsync.PoolLoad) {
	g.pools.recordPoolLoads(pools)
}

// Run closes expired idle connections and probes unreachable servers until ctx ends.
// It returns nil.
func (g *Gateway) Run(ctx context.Context) error {
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			g.client.CloseExpired(now)
			g.probe(ctx, now)
			g.logWarmups()
		}
	}
}

// InProgress returns the number of requests in progress.
func (g *Gateway) InProgress() int { return int(g.inProgress.Load()) }

// AnnounceDrain makes each answer close its connection, so that callers reconnect to
// other routers. The gateway still serves the requests whose deadlines end before end, at which
// the shutdown aborts those in progress, and refuses all others: another router can serve them.
func (g *Gateway) AnnounceDrain(end time.Time) { g.drainEnd.Store(&end) }

// AbortRequests cancels the requests in progress.
func (g *Gateway) AbortRequests() { g.abort(errAborted) }

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.inProgress.Add(1)
	defer g.inProgress.Add(-1)
	c := &call{gateway: g, w: w, r: r, receivedAt: time.Now(), table: g.tableSource.Table(), in: g.dialect.ParseRequest(r), memory: g.requestMemory.Share()}
	defer c.memory.Release()
	if g.drainEnd.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	if err := c.admit(); err != nil {
		c.refuse(err)
		return
	}
	ctx, cancel := context.WithDeadlineCause(r.Context(), c.deadline, errDeadlineExceeded)
	defer cancel()
	ctx, stop := context.WithCancelCause(ctx)
	defer context.AfterFunc(g.abortCtx, func() { stop(errAborted) })()
	defer stop(nil)
	c.ctx = ctx
	defer c.closeStream()
	if err := c.sendWithRetries(); err != nil {
		c.refuse(err)
	}
}
