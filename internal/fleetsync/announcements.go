package fleetsync

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/registry"
	"peridotwinch.example/peridotwinch/internal/rpc/fleetpb"
)

var (
	announcementsForwarded = metrics.NewCounter(`peridotwinch_fleet_announcements_forwarded_total`)
	livenessReceived       = metrics.NewCounter(`peridotwinch_fleet_liveness_received_total`)
)

// IsLargeFleet reports whether the rules for large fleets apply to a number of listed servers.
func IsLargeFleet(servers int) bool { return servers > maxCompleteServers }

// AnnouncementRouter returns the address of a router that follows this replica directly and takes the
// announcements of a server for control, or an empty string if there is none or the fleet is small.
func (s *Service) AnnouncementRouter(server registry.Server, now time.Time) string {
	if !s.source.HasQuorum() {
		// Its routers refuse announcements.
		return ""
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !IsLargeFleet(s.table.Len()) {
		return ""
	}
	// The stream of a router that was lost without a trace stays open; its reports end.
	address := s.admission.AnnouncementAddress(server.ID, server.Domain, func(instance string) bool { return s.subtrees.IsRecent(instance, now) })
	if address != "" {
		delete(s.assignedAt, server.Hash())
	}
	return address
}

// mergeLiveness merges the heartbeats that routers have acknowledged. The digests to the other
// replicas treat them as announcements to this one.
func (s *Service) mergeLiveness(message *fleetpb.Liveness, now time.Time) (unknown []uint64) {
	if len(message.GetServers()) == 0 {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.table.Revision()
	eachHeartbeat(message, now, func(hash uint64, at time.Time) {
		livenessReceived.Inc()
		if !s.table.Confirm(hash, at, now) {
			unknown = append(unknown, hash)
		} else if at.After(s.announcedAt[hash]) {
			s.announcedAt[hash] = at
		}
	})
	if s.table.Revision() != before {
		s.notifyChanged()
	}
	return unknown
}

// ForwardAnnouncement implements the ForwardAnnouncement RPC of the Fleet service.
func (s *Service) ForwardAnnouncement(ctx context.Context, request *fleetpb.AnnouncementRequest) (*fleetpb.AnnouncementResponse, error) {
	announcementsForwarded.Inc()
	if id := request.GetWithdraw(); id != "" {
		return &fleetpb.AnnouncementResponse{}, s.Withdraw(ctx, id)
	}
	server := FromServer(request.GetServer(), time.Now()).Server
	if err := server.Validate(); err != nil {
		return nil, err
	}
	if server.State != registry.StateReady && server.State != registry.StateDraining {
		return nil, api.Errorf(api.CodeAnnouncement, "unknown state %d", server.State)
	}
	return &fleetpb.AnnouncementResponse{}, s.Announce(ctx, server)
}

// ForwardAnnouncement implements the ForwardAnnouncement RPC of the Fleet service: routers forward
// announcements to control only.
func (r *Relay) ForwardAnnouncement(context.Context, *fleetpb.AnnouncementRequest) (*fleetpb.AnnouncementResponse, error) {
	return nil, errors.New("not a control replica")
}

// ToAnnouncement returns the request that forwards an announcement received at now.
func ToAnnouncement(server registry.Server, now time.Time) *fleetpb.AnnouncementRequest {
	entry := registry.Entry{Server: server, LastAnnounced: now, WarmupUntil: now.Add(server.WarmupLeft)}
	return &fleetpb.AnnouncementRequest{Server: toServer(entry, now)}
}
