package router

import (
	"cmp"
	"slices"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/membership"
)

// AddStatus implements status.Reporter.
func (r *Router) AddStatus(status *api.DaemonStatus) {
	status.Router = &api.RouterSelfStatus{
		Revision: r.watcher.Catalog().Revision(),
		Pools:    poolStatuses(r.members.Records()),
	}
	if err := r.watcher.Ready(); err != nil {
		status.Degraded = append(status.Degraded, api.AsError(err))
	}
	if r.watcher.IsDisconnected() {
		status.Degrade(api.CodeUnreachable, "control", "the router is not connected to a control replica and serves its last configuration")
	}
	for _, pool := range status.Router.Pools {
		if pool.Serving == 0 {
			status.Degrade(api.CodeNoBackendServer, string(pool.Pool), "the pool has no serving backend server")
		}
	}
}

// poolStatuses counts servers by the name of the pool that they announce. A server
// that was draining before it fell silent has left and is not counted.
func poolStatuses(servers []membership.Server) []api.PoolStatus {
	statuses := make(map[api.Ref]*api.PoolStatus)
	for i := range servers {
		server := &servers[i]
		if !server.Present() && server.State == api.ServerDraining {
			continue
		}
		pool := statuses[server.Pool]
		if pool == nil {
			pool = &api.PoolStatus{Pool: server.Pool}
			statuses[server.Pool] = pool
		}
		addServer(pool, server)
	}
	pools := make([]api.PoolStatus, 0, len(statuses))
	for _, pool := range statuses {
		pools = append(pools, *pool)
	}
	slices.SortFunc(pools, func(a, b api.PoolStatus) int { return cmp.Compare(a.Pool, b.Pool) })
	return pools
}

func addServer(pool *api.PoolStatus, server *membership.Server) {
	switch {
	case !server.Present():
		pool.Silent++
		return
	case server.ChartState == membership.Draining:
		pool.Draining++
	default:
		pool.Serving++
		pool.Slots += server.Slots
	}
	pool.Load += server.Load
}
