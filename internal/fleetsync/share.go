package fleetsync

import (
	"context"
	"maps"
	"time"

	"storj.io/drpc"

	"peridotwinch.example/peridotwinch/internal/registry"
	"peridotwinch.example/peridotwinch/internal/relay"
	"peridotwinch.example/peridotwinch/internal/rpc/fleetpb"
)

// maxRunGap is the time between two rounds of Service.Run from which the process has been stopped.
const maxRunGap = 2 * (digestInterval + shareTimeout)

// share sends one replica the changes that it lacks and merges the response. It reports whether
// the replica has all changes of before the call. If the call fails, the next one sends the same
// changes again.
func (s *Service) share(ctx context.Context, p *peer, digest bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	request, revision, statements, alive := s.newShareRequest(p, digest)
	coordinator := s.coordinator.name()
	request.SlotCoordinator = s.coordinator.message(time.Now())
	if !digest && len(request.GetServers()) == 0 && request.GetStatements() == nil && int(request.GetRouters()) == p.sentRouters && coordinator == p.sentCoordinator {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	var response *fleetpb.ShareResponse
	err := p.client.Do(ctx, func(ctx context.Context, conn drpc.Conn) error {
		var err error
		response, err = fleetpb.NewDRPCFleetClient(conn).Share(ctx, request)
		return err
	})
	if err != nil {
		s.log.Debug().Err(err).Str("peer", p.client.Address()).Msg("failed to share backend servers with a control replica")
		return false
	}
	p.sentRevision, p.sentStatements, p.sentRouters = revision, statements, int(request.GetRouters())
	p.sentCoordinator = coordinator
	if len(response.GetUnknown()) > 0 {
		// The replica has restarted and lacks these servers; the next call sends all.
		p.sentRevision, p.sentStatements = 0, statementCursor{}
		clear(p.sent)
	} else if digest {
		s.mu.Lock()
		p.sent.record(alive, s.announcedAt)
		s.mu.Unlock()
	}
	now := time.Now()
	s.recordStatements(fromRateStatements(response.GetStatements(), now), originUpstream, now)
	if departed := s.mergeServers(response.GetServers()); len(departed) > 0 {
		// The replica that sent them has stored them; an error is logged.
		go func() { _ = s.departures.Append(s.running, departed...) }()
	}
	if digest {
		p.losses.Compare(response.GetLossDigest(), now)
	}
	if request.GetWantAll() {
		s.mu.Lock()
		s.synced = true
		s.mu.Unlock()
	}
	return true
}

// newShareRequest returns the request with the changes that a replica lacks, and the registry
// revision, the cursor and the announcement times that the replica has with it.
func (s *Service) newShareRequest(p *peer, digest bool) (request *fleetpb.ShareRequest, revision uint64, sent statementCursor, alive map[uint64]time.Time) {
	now := time.Now()
	var loads *fleetpb.Loads
	if digest {
		loads = s.loadsForReplica(p.client.Address(), now)
	}
	statements, cursor := s.statements.changes(p.sentStatements, !digest, originUpstream, now)
	s.mu.Lock()
	defer s.mu.Unlock()
	request = &fleetpb.ShareRequest{
		Instance: s.ownAddress, Servers: toServers(s.table.Since(p.sentRevision), now), WantAll: digest && !s.synced,
		Statements: toRateStatements(statements, now), Routers: uint32(s.subtrees.Sum(relay.Applied{}, now).Routers),
	}
	if digest {
		request.LossDigest = s.losses.Digest()
		request.Loads = loads
		alive = s.announcedAt
		if s.table.Len() > maxCompleteServers {
			alive = p.sent.due(s.announcedAt, now)
		}
		for hash, at := range alive {
			request.Alive = append(request.Alive, hash)
			request.AgeMs = append(request.AgeMs, uint32(now.Sub(at).Milliseconds()))
		}
		alive = maps.Clone(alive)
	}
	return request, s.table.Revision(), cursor, alive
}

// mergeServers merges server records of another replica into the registry. It returns the records
// of servers that leave and that this replica has not stored yet.
func (s *Service) mergeServers(servers []*fleetpb.Server) (departed []registry.Entry) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := false
	for _, record := range servers {
		entry := FromServer(record, now)
		changed = s.table.MergeRecord(entry) || changed
		if merged, _ := s.table.Get(entry.ID); merged.State > registry.StateReady && !s.departures.IsStored(merged) {
			departed = append(departed, merged)
		}
	}
	if changed {
		s.notifyChanged()
	}
	return departed
}

// Share implements the Share RPC of the Fleet service. It merges another replica's changes,
// loads and digest, and stores departures before it returns. The response holds the hashes in
// the digest for which this replica has no server and, if requested, all its servers.
func (s *Service) Share(ctx context.Context, request *fleetpb.ShareRequest) (*fleetpb.ShareResponse, error) {
	departed := s.mergeServers(request.GetServers())
	response := s.mergeDigest(request)
	// An error makes the sender send the same changes again.
	return response, s.departures.Append(ctx, departed...)
}

// mergeDigest merges the loads and the digest of a request and returns the response to it.
func (s *Service) mergeDigest(request *fleetpb.ShareRequest) *fleetpb.ShareResponse {
	now := time.Now()
	s.loads.mergeFromReplica(request.GetInstance(), request.GetLoads(), now)
	if request.GetLoads() != nil {
		s.replicaLoads.record(request.GetInstance(), FromPoolLoads(request.GetLoads(), now), now)
	}
	s.mergeCoordinator(request.GetSlotCoordinator(), now)
	s.recordStatements(fromRateStatements(request.GetStatements(), now), originUpstream, now)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replicas.Record(request.GetInstance(), relay.Subtree{Routers: boundedRouters(request.GetRouters())}, now)
	response := &fleetpb.ShareResponse{LossDigest: s.losses.Digest()}
	before := s.table.Revision()
	for i, hash := range request.GetAlive() {
		if i >= len(request.GetAgeMs()) {
			break
		}
		if !s.table.Confirm(hash, now.Add(-time.Duration(request.GetAgeMs()[i])*time.Millisecond), now) {
			response.Unknown = append(response.Unknown, hash)
		}
	}
	if s.table.Revision() != before {
		s.notifyChanged()
	}
	if request.GetWantAll() {
		response.Servers = toServers(s.table.Since(0), now)
		all, _ := s.statements.changes(statementCursor{}, false, originNone, now)
		response.Statements = toRateStatements(all, now)
	}
	return response
}

// numbering returns the indices of the routers that follow this replica: the replicas take
// consecutive ranges in the order of their addresses. A replica that has been silent has no
// routers; one without a quorum, which may be cut off from others, numbers none. The caller holds mu.
func (s *Service) numbering(now time.Time) relay.Numbering {
	if !s.knowsRouters(now) || !s.source.HasQuorum() {
		return relay.Numbering{}
	}
	s.replicas.Record(s.ownAddress, s.subtrees.Sum(relay.Applied{}, now), now)
	count := s.replicas.Sum(relay.Applied{}, now).Routers
	return s.replicas.Part(relay.Numbering{Length: count, Count: count}, s.ownAddress, now)
}

// knowsRouters reports whether this replica has run for long enough, since its start or since its
// process was stopped, to have heard all routers: too low a count would make each of them take too
// much. The caller holds mu.
func (s *Service) knowsRouters(now time.Time) bool {
	s.noteRunning(now)
	running := now.Sub(s.runningSince)
	if running < LoadReportInterval+reportSlack {
		return false
	}
	for address := range s.peers {
		if running < relay.SubtreeRetention && !s.replicas.Has(address, now) {
			return false
		}
	}
	return true
}

// noteRunning records that the process runs; the caller holds mu.
func (s *Service) noteRunning(now time.Time) {
	if now.Sub(s.lastRunning) > maxRunGap {
		s.runningSince = now
	}
	s.lastRunning = now
}
