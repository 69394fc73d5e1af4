// Package dispatch admits requests to backend servers: it joins the membership
// table with the balancer of each pool.
package dispatch

import (
	"context"
	"sync"
	"time"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/balance"
	"peridotwinch.example/peridotwinch/internal/catalog"
	"peridotwinch.example/peridotwinch/internal/membership"
)

// Source lists the known backend servers.
type Source interface {
	Servers() []membership.Server
}

// Lease is the right to send one request to a backend server. Release must be
// called exactly once.
type Lease struct {
	Server      balance.ServerID
	Incarnation uint64
	// Remote says that Server is the callers' address of a router of another
	// failure domain, which takes the caller's request as it came.
	Remote  bool
	release func(balance.Result)
}

// Release gives the place on the server back.
func (l *Lease) Release(result balance.Result) { l.release(result) }

// Dispatcher gives out leases. It is safe for concurrent use.
type Dispatcher struct {
	source    Source
	newPolicy func() balance.Balancer

	mu    sync.Mutex
	pools map[string]balance.Balancer
}

// New returns a dispatcher over the servers of source.
func New(source Source, newPolicy func() balance.Balancer) *Dispatcher {
	return &Dispatcher{source: source, newPolicy: newPolicy, pools: make(map[string]balance.Balancer)}
}

// Acquire returns a lease on a server of the pool. It fails with
// CodeNoBackendServer where the pool has no serving server, and with
// CodeOverloaded where none has room in time; both mean that nothing has run.
func (d *Dispatcher) Acquire(ctx context.Context, view *catalog.Catalog, pool catalog.Pool, model string, request balance.Request) (*Lease, error) {
	servers := d.candidates(view, pool, model)
	if len(servers) == 0 {
		return nil, api.Errorf(api.CodeNoBackendServer, "the pool has no serving backend server").NotRun()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	balancer := d.balancer(pool.UID)
	id, ok := balancer.Pick(time.Now(), request, servers)
	if !ok {
		return nil, api.Errorf(api.CodeOverloaded, "no backend server of the pool has room").NotRun()
	}
	return &Lease{Server: id, release: func(result balance.Result) { d.release(balancer, request, id, result) }}, nil
}

func (d *Dispatcher) balancer(pool string) balance.Balancer {
	balancer := d.pools[pool]
	if balancer == nil {
		balancer = d.newPolicy()
		d.pools[pool] = balancer
	}
	return balancer
}

func (d *Dispatcher) release(balancer balance.Balancer, request balance.Request, id balance.ServerID, result balance.Result) {
	d.mu.Lock()
	defer d.mu.Unlock()
	balancer.Done(time.Now(), request, id, result)
}

func (d *Dispatcher) candidates(view *catalog.Catalog, pool catalog.Pool, model string) []balance.Server {
	var out []balance.Server
	for _, server := range d.source.Servers() {
		if !serves(view, server, pool, model) {
			continue
		}
		out = append(out, balance.Server{
			ID: balance.ServerID(server.Address), Incarnation: server.Incarnation, Slots: server.Slots,
			ReportedLoad: server.Load, ReportedAt: server.ReceivedAt,
		})
	}
	return out
}

func serves(view *catalog.Catalog, server membership.Server, pool catalog.Pool, model string) bool {
	if server.State != api.ServerServing {
		return false
	}
	announced, ok := view.Pool(server.Pool)
	if !ok || announced.UID != pool.UID {
		return false
	}
	if model == "" {
		return true
	}
	for _, loaded := range server.Models {
		if loaded == model {
			return true
		}
	}
	return false
}
