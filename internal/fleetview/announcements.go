package fleetview

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"storj.io/drpc"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/fleetsync"
	"peridotwinch.example/peridotwinch/internal/registry"
	"peridotwinch.example/peridotwinch/internal/relay"
	"peridotwinch.example/peridotwinch/internal/rpc"
	"peridotwinch.example/peridotwinch/internal/rpc/fleetpb"
)

const (
	// forwardTimeout limits the forwarding of an announcement: a server's timeout for the
	// confirmation is 1 s. firstForwardTimeout leaves time for a second replica; a replica waits up
	// to 0.4 s for the others to store a departure.
	forwardTimeout      = 900 * time.Millisecond
	firstForwardTimeout = 500 * time.Millisecond
	maxForwardAttempts  = 2
	// maxAnnouncementDepth is the largest distance from control at which servers stay with a router:
	// each hop adds up to 0.35 s to the age of their heartbeats at control.
	maxAnnouncementDepth = 2
)

// Announcements received by a router, by what it did with them.
var (
	announcementsAcknowledged = metrics.NewCounter(`peridotwinch_view_announcements_total{result="acknowledged"}`)
	announcementsForwarded    = metrics.NewCounter(`peridotwinch_view_announcements_total{result="forwarded"}`)
	announcementsFailed       = metrics.NewCounter(`peridotwinch_view_announcements_total{result="failed"}`)
	announcementsRefused      = metrics.NewCounter(`peridotwinch_view_announcements_total{result="refused"}`)
)

// Announcements takes the announcements of servers for control in a large fleet. It acknowledges
// heartbeats that repeat what the router has, and forwards all else to a control replica. It implements
// adapter.Announcements and is safe for concurrent use.
type Announcements struct {
	view *View
	// address is where this router takes announcements, or empty.
	address  string
	stopping atomic.Bool
	mu       sync.Mutex
	clients  map[string]*rpc.Client
}

// Announcements returns the receiver of announcements of this router.
func (v *View) Announcements() *Announcements { return v.announcements }

// Stop makes servers return to control, at the start of a shutdown.
func (a *Announcements) Stop() {
	if a.address == "" || a.stopping.Swap(true) {
		return
	}
	count, _ := a.view.relay.HeartbeatServers()
	a.view.log.Info().Int("servers", count).Msg("announcements of backend servers refused from now on")
	a.view.relay.RequestReport()
}

// Announce implements adapter.Announcements.
func (a *Announcements) Announce(ctx context.Context, server registry.Server) error {
	if err := a.check(); err != nil {
		return err
	}
	now := time.Now()
	if a.view.isRepeated(&server, now) && a.view.relay.RecordHeartbeat(server.Hash(), now) {
		announcementsAcknowledged.Inc()
		return nil
	}
	if err := a.forward(ctx, server.ID, fleetsync.ToAnnouncement(server, now)); err != nil {
		return err
	}
	a.view.relay.RecordForwarded(server.Hash())
	return nil
}

// AnnouncementAddress implements adapter.Announcements. It returns the address of this router, or an
// empty string if the server should return to control.
func (a *Announcements) AnnouncementAddress(server registry.Server) string {
	v := a.view
	v.mu.Lock()
	stays := fleetsync.IsLargeFleet(len(v.servers)) && v.path.Depth() <= maxAnnouncementDepth
	v.mu.Unlock()
	if !stays || a.stopping.Load() || !v.relay.KeepsHeartbeats(server.Hash()) {
		return ""
	}
	return a.address
}

// Withdraw implements adapter.Announcements.
func (a *Announcements) Withdraw(ctx context.Context, id string) error {
	if err := a.check(); err != nil {
		return err
	}
	return a.forward(ctx, id, &fleetpb.AnnouncementRequest{Withdraw: id})
}

// LogRefusal implements adapter.Announcements.
func (a *Announcements) LogRefusal(subject string, err error) {
	a.view.log.Warn().Err(err).Str("subject", subject).Msg("invalid call rejected")
}

// check returns an error if announcements are refused.
func (a *Announcements) check() error {
	switch {
	case a.stopping.Load():
		announcementsRefused.Inc()
		return api.Errorf(api.CodeDraining, "the router shuts down; announce to control")
	case !(&viewSource{a.view}).HasQuorum():
		announcementsRefused.Inc()
		return api.Errorf(api.CodeNoQuorum, "the router follows no source with a quorum; announce to control")
	}
	return nil
}

// isRepeated reports whether the followed source has the record of a ready server as announced.
func (v *View) isRepeated(server *registry.Server, now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	e, found := v.servers[server.ID]
	return found && v.confirmed[server.ID] && e.IsRepeatedBy(server, now)
}

// forward passes an announcement to a control replica, and to a second one if the first one fails.
func (a *Announcements) forward(ctx context.Context, id string, request *fleetpb.AnnouncementRequest) error {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	var err error
	for i, client := range a.controlClients() {
		if i == maxForwardAttempts || ctx.Err() != nil {
			break
		}
		if err = a.forwardTo(ctx, client, request); err == nil {
			announcementsForwarded.Inc()
			return nil
		}
		a.view.log.Warn().Err(err).Str("server", id).Str("control", client.Address()).Msg("announcement not forwarded")
	}
	announcementsFailed.Inc()
	return api.Errorf(api.CodeNoQuorum, "no control replica has taken the announcement of server %q: %v", id, err)
}

func (a *Announcements) forwardTo(ctx context.Context, client *rpc.Client, request *fleetpb.AnnouncementRequest) error {
	ctx, cancel := context.WithTimeout(ctx, firstForwardTimeout)
	defer cancel()
	return client.Do(ctx, func(ctx context.Context, conn drpc.Conn) error {
		// Closing the connection on a timeout ends a pending call.
		defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
		_, err := fleetpb.NewDRPCFleetClient(conn).ForwardAnnouncement(ctx, request)
		return err
	})
}

// controlClients returns the clients of the control replicas: first that which the router follows,
// directly or through relays, then the others in the router's order of preference.
func (a *Announcements) controlClients() []*rpc.Client {
	v := a.view
	v.mu.Lock()
	controls, path := v.controls, v.path
	if len(controls) == 0 {
		controls = v.seeds
	}
	v.mu.Unlock()
	ranked := relay.Rank(v.instance, controls)
	if len(path) > 0 {
		if i := slices.Index(ranked, path[0]); i > 0 {
			ranked = slices.Insert(slices.Delete(ranked, i, i+1), 0, path[0])
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for address, client := range a.clients {
		if !slices.Contains(ranked, address) {
			client.Close()
			delete(a.clients, address)
		}
	}
	out := make([]*rpc.Client, 0, len(ranked))
	for _, address := range ranked {
		if a.clients[address] == nil {
			a.clients[address] = rpc.NewClient(address, rpc.PurposeFleet)
		}
		out = append(out, a.clients[address])
	}
	return out
}
