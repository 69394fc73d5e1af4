package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"peridotwinch.example/peridotwinch/internal/backend"
	"peridotwinch.example/peridotwinch/internal/fleetsync"
	"peridotwinch.example/peridotwinch/internal/registry"
	"peridotwinch.example/peridotwinch/internal/routetable"
)

// Tables gives the route table in force, or nil before the first one.
type Tables interface {
	Table() *routetable.Table
}

const (
	// defaultBodyBytes bounds bodies before a route table sets a limit.
	defaultBodyBytes = 4 << 20
	// closeIdleEvery is how often expired connections to servers are closed and lost
	// servers are tried.
	closeIdleEvery = 200 * time.Millisecond
)

var (
	errTimeLimit = errors.New("the time limit of the request is over")
	errCut       = errors.New("the router's shutdown cut the request off")
)

// Gateway serves callers. It is safe for concurrent use.
type Gateway struct {
	log     zerolog.Logger
	domain  string
	dialect Dialect
	tables  Tables
	client  *backend.Client
	pools   *pools
	metrics *gatewayMetrics
	started time.Time

	inProgress atomic.Int64
	// lastAnswers says that each answer closes its connection.
	lastAnswers atomic.Bool
	cut         context.Context
	cutOff      context.CancelCauseFunc
}

// New returns the gateway of a router in a failure domain. SetTableSource has to be
// called before it serves.
func New(domain string, dialect Dialect, log zerolog.Logger) *Gateway {
	m := newGatewayMetrics()
	g := &Gateway{
		log: log, domain: domain, dialect: dialect,
		pools: newPools(m), metrics: m, started: time.Now(),
	}
	g.client = backend.NewClient(g.metrics.connections.Inc)
	g.addGauges()
	g.cut, g.cutOff = context.WithCancelCause(context.Background())
	return g
}

// SetTableSource sets where the route table comes from.
func (g *Gateway) SetTableSource(tables Tables) { g.tables = tables }

// SetServers takes the backend servers that control knows.
func (g *Gateway) SetServers(entries []registry.Entry) { g.pools.setServers(entries) }

// NewLoads returns the loads that came with answers since the last call.
func (g *Gateway) NewLoads() map[uint64]fleetsync.ServerLoad {
	out := make(map[uint64]fleetsync.ServerLoad)
	for _, p := range g.pools.all() {
		p.newLoads(out)
	}
	return out
}

// SetLoads takes the loads that servers told any router.
func (g *Gateway) SetLoads(loads map[uint64]fleetsync.ServerLoad) {
	for _, p := range g.pools.all() {
		p.learn(loads)
	}
}

// Run closes idle connections and looks whether lost servers can be reached again,
// until ctx ends.
func (g *Gateway) Run(ctx context.Context) error {
	ticker := time.NewTicker(closeIdleEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			g.client.CloseExpired(now)
			g.probe(ctx, now)
		}
	}
}

// probe sets connections up to servers that were out of reach. It puts no request
// at risk and costs the server no work.
func (g *Gateway) probe(ctx context.Context, now time.Time) {
	for _, p := range g.pools.all() {
		for _, s := range p.unreachable(now) {
			id, address := s.ID, s.Address
			go func() {
				if err := g.client.Probe(ctx, address); err != nil {
					p.notReached(s)
					return
				}
				g.log.Info().Str("server", id).Str("address", address).Msg("server can be reached")
				p.reached(s)
			}()
		}
	}
}

// InProgress returns the number of requests in progress.
func (g *Gateway) InProgress() int { return int(g.inProgress.Load()) }

// AnnounceDrain makes each answer close its connection, so that callers move to
// other routers. Requests are still served.
func (g *Gateway) AnnounceDrain() { g.lastAnswers.Store(true) }

// AbortRequests ends the requests in progress.
func (g *Gateway) AbortRequests() { g.cutOff(errCut) }

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.inProgress.Add(1)
	defer g.inProgress.Add(-1)
	c := &call{gateway: g, w: w, r: r, begun: time.Now(), table: g.tables.Table(), in: g.dialect.ParseRequest(r)}
	if g.lastAnswers.Load() {
		w.Header().Set("Connection", "close")
	}
	if err := c.admit(); err != nil {
		c.refuse(err)
		return
	}
	ctx, cancel := context.WithDeadlineCause(r.Context(), c.deadline, errTimeLimit)
	defer cancel()
	ctx, stop := context.WithCancelCause(ctx)
	defer context.AfterFunc(g.cut, func() { stop(errCut) })()
	defer stop(nil)
	c.ctx = ctx
	if err := c.perform(); err != nil {
		c.refuse(err)
	}
}
