package control

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/fleetsync"
	"peridotwinch.example/peridotwinch/internal/registry"
	"peridotwinch.example/peridotwinch/internal/relay"
	"peridotwinch.example/peridotwinch/internal/settings"
)

// Reload adds the control replicas of changed settings as seeds.
func (c *Control) Reload(s *settings.Settings) { c.replica.AddSeeds(s.ControlAddresses()) }

// operatorHandler returns the handler of the operators' listener: the resource API and, if
// there is an adapter, the adapter's handler for all other paths.
func (c *Control) operatorHandler() http.Handler {
	if c.adapter == nil {
		return c.Handler()
	}
	mux := http.NewServeMux()
	mux.Handle("/apis/", c.Handler())
	mux.HandleFunc("GET /apis/v1/quarantine", c.listQuarantine)
	mux.HandleFunc("DELETE /apis/v1/quarantine/{pool}/{part}", c.releasePart)
	mux.Handle("/", c.adapter.ControlHandler(&adapterControl{Control: c}))
	return mux
}

// followerStatus summarizes the routers that follow this instance, or returns nil if it streams
// to none.
func (c *Control) followerStatus(now time.Time) *api.FollowerStatus {
	if c.fleetSync == nil {
		return nil
	}
	subtree := c.fleetSync.Subtree(relay.Applied{}, now)
	out := &api.FollowerStatus{
		Routers: subtree.Routers, Direct: c.fleetSync.Subscribers(),
		LowestGeneration: subtree.Lowest.Generation, LowestRouter: subtree.Lowest.Router, LowestPath: subtree.Lowest.Path,
	}
	if table := c.store.RouteTable(); table != nil {
		out.Generation = table.Generation
	}
	return out
}

// adapterControl implements adapter.Control.
type adapterControl struct {
	*Control
}

// Announce implements adapter.Control.
func (a *adapterControl) Announce(ctx context.Context, server registry.Server) error {
	return a.fleetSync.Announce(ctx, server)
}

// AnnouncementAddress implements adapter.Control.
func (a *adapterControl) AnnouncementAddress(server registry.Server) string {
	address, err := netip.ParseAddrPort(a.settings.Listen.Operators)
	if err != nil || address.Addr().IsUnspecified() || address.Port() == 0 || !a.fleetSync.AssignServer(server.Hash(), time.Now()) {
		return ""
	}
	return a.settings.Listen.Operators
}

// Withdraw implements adapter.Control.
func (a *adapterControl) Withdraw(ctx context.Context, id string) error {
	return a.fleetSync.Withdraw(ctx, id)
}

// LogRefusal implements adapter.Control.
func (a *adapterControl) LogRefusal(subject string, err error) {
	a.log.Warn().Err(err).Str("subject", subject).Msg("invalid call rejected")
}

// fleetSource implements fleetsync.Source.
type fleetSource struct {
	control *Control
}

// Table implements fleetsync.Source.
func (r *fleetSource) Table() *fleetsync.TableVersion {
	document := r.control.store.RouteTable()
	if document == nil {
		return nil
	}
	return fleetsync.NewTableVersion(document)
}

// Upstream implements fleetsync.Source.
func (r *fleetSource) Upstream() relay.Path { return nil }

// Subscribe implements fleetsync.Source.
func (r *fleetSource) Subscribe() (<-chan struct{}, func()) { return r.control.store.Subscribe() }

// Barrier implements fleetsync.Source.
func (r *fleetSource) Barrier(ctx context.Context) error { return r.control.replica.Barrier(ctx) }

// HasQuorum implements fleetsync.Source.
func (r *fleetSource) HasQuorum() bool {
	status := r.control.replica.Status()
	return status.HasActiveLeader && time.Since(status.At) < diskStuckTimeout
}

// Controls implements fleetsync.Source.
func (r *fleetSource) Controls() []string {
	var out []string
	for _, member := range r.control.replica.Status().Membership.Members {
		out = append(out, member.Instance)
	}
	return out
}
