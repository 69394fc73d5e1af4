// Package fleetsync replicates the announced backend servers between control
// replicas by anti-entropy, and streams them and the route table to routers.
package fleetsync

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"storj.io/drpc"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/actor"
	"peridotwinch.example/peridotwinch/internal/quarantine"
	"peridotwinch.example/peridotwinch/internal/registry"
	"peridotwinch.example/peridotwinch/internal/relay"
	"peridotwinch.example/peridotwinch/internal/rpc"
	"peridotwinch.example/peridotwinch/internal/rpc/fleetpb"
)

const (
	// digestInterval is the time between two digests of live servers to another
	// replica. It is well below registry.SilentAfter.
	digestInterval = 700 * time.Millisecond
	// shareTimeout limits a Share call to another control replica. It also limits the
	// delay that unreachable replicas add to an announcement: a server's timeout for
	// the confirmation is 1 s.
	shareTimeout = 400 * time.Millisecond
	// initialSyncTimeout is how long a starting replica waits for the servers of
	// another replica before it serves routers from its own registry.
	initialSyncTimeout = 1500 * time.Millisecond
	// initialSyncInterval is the time between two requests for all servers of the
	// other replicas until one answers. After a restart of all replicas the first
	// request fails, because the others do not listen yet.
	initialSyncInterval = 100 * time.Millisecond
)

// Service maintains the server registry of a control replica, synchronizes it with the
// other replicas and streams it to routers.
type Service struct {
	*publisher
	started time.Time
	// sharePending signals that changes are to be sent to the other replicas.
	sharePending chan struct{}
	// running is done when Run ends.
	running context.Context
	stop    context.CancelFunc
	// departures stores what was confirmed to servers that leave.
	departures *DepartureLog
	// announcedAt and the fields below are guarded by the publisher's mu.
	announcedAt map[uint64]time.Time
	// synced reports that another replica has answered with all its servers.
	synced bool
	peers  map[string]*peer
}

// peer is another control replica.
type peer struct {
	client *rpc.Client
	// sentRevision is the registry revision up to which the replica has received all
	// changes.
	sentRevision uint64
	mu           sync.Mutex
	losses       *LossSender
	stopLosses   context.CancelFunc
}

// NewService returns the service of the replica with the given RPC address. linkMbps is the
// bandwidth of the instance's link in Mbit/s; 0 means unknown and disables pacing. The registry
// starts with the stored departures.
func NewService(address string, source Source, losses *quarantine.Store, departures *DepartureLog, limits relay.Limits, linkMbps float64, log zerolog.Logger) *Service {
	s := &Service{
		departures: departures,
		started:    time.Now(), announcedAt: make(map[uint64]time.Time), peers: make(map[string]*peer),
		sharePending: make(chan struct{}, 1),
	}
	s.running, s.stop = context.WithCancel(context.Background())
	s.publisher = newPublisher(address, source, losses, limits, linkMbps, log)
	s.publisher.isSynced = s.isSynced
	for _, e := range departures.Entries(s.started) {
		s.table.Merge(e.Server, e.LastAnnounced)
	}
	return s
}

// Register adds the service's RPCs to a server.
func (s *Service) Register(mux drpc.Mux) error { return fleetpb.DRPCRegisterFleet(mux, s) }

// Announce merges an announcement into the registry, or drops it if it is stale. If the
// server is not ready, for example because it drains, Announce returns after it has stored the
// change and sent it to the other replicas, which store it too; a replica that does not answer in
// time receives it later. The error has api.CodeNoQuorum if no replica has stored it in time.
func (s *Service) Announce(ctx context.Context, server registry.Server) error {
	now := time.Now()
	s.mu.Lock()
	if s.table.IsStale(server) {
		known, _ := s.table.Get(server.ID)
		s.mu.Unlock()
		s.log.Info().Str("server", server.ID).Uint8("state", uint8(server.State)).Uint64("sequence", server.Sequence).
			Int64("born", server.StartedMS).Uint8("knownState", uint8(known.State)).Uint64("knownSequence", known.Sequence).
			Int64("knownBorn", known.StartedMS).Msg("late announcement dropped")
		return nil
	}
	changed := s.table.Merge(server, now)
	s.announcedAt[server.Hash()] = now
	if changed {
		s.notifyChanged()
	}
	s.mu.Unlock()
	if !changed {
		return s.storeDeparture(ctx, server.ID)
	}
	s.log.Info().Str("server", server.ID).Str("address", server.Address).Str("pool", server.Pool).
		Uint8("state", uint8(server.State)).Uint64("sequence", server.Sequence).Int64("born", server.StartedMS).Msg("backend server changed")
	if server.State == registry.StateReady {
		// It does no harm if the other replicas receive the record of a ready server later.
		// After a restart of all instances every announcement is a change, so changes are
		// batched.
		s.scheduleShare()
		return nil
	}
	return s.storeDeparture(ctx, server.ID)
}

// storeDeparture returns nil once the record of a server is durable on a replica, or if the server
// is ready. It waits for all replicas, up to shareTimeout.
func (s *Service) storeDeparture(ctx context.Context, id string) error {
	s.mu.Lock()
	entry, known := s.table.Get(id)
	s.mu.Unlock()
	if !known || entry.State == registry.StateReady || s.departures.IsStored(entry.Server) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	stored := make(chan error, 1)
	go func() { stored <- s.departures.Append(ctx, entry) }()
	confirmed := s.shareAll(ctx, false)
	if err := <-stored; err != nil && confirmed == 0 {
		return api.Errorf(api.CodeNoQuorum, "no control replica has stored that server %q leaves: %v", id, err)
	}
	return nil
}

// scheduleShare requests that changes be sent to the other replicas, without blocking.
func (s *Service) scheduleShare() {
	select {
	case s.sharePending <- struct{}{}:
	default:
	}
}

// Withdraw marks a server as gone, and stores the change and sends it to the other replicas before
// it returns, as Announce does.
func (s *Service) Withdraw(ctx context.Context, id string) error {
	s.mu.Lock()
	known := s.table.Withdraw(id, time.Now())
	s.notifyChanged()
	s.mu.Unlock()
	s.log.Info().Str("server", id).Bool("known", known).Msg("backend server withdrawn")
	return s.storeDeparture(ctx, id)
}

// Run sends digests and changes to the other replicas, and expires servers, until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	defer s.stop()
	go s.runScheduledShares(ctx)
	for {
		s.shareAll(ctx, true)
		delay := digestInterval
		if !s.isSynced() {
			delay = initialSyncInterval
		}
		if !actor.Sleep(ctx, delay) {
			return nil
		}
		s.expire(time.Now())
	}
}

// runScheduledShares sends the changes for which scheduleShare was called, batched over
// changeBatchDelay.
func (s *Service) runScheduledShares(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.sharePending:
		}
		if !actor.Sleep(ctx, changeBatchDelay) {
			return
		}
		s.shareAll(ctx, false)
	}
}

// expire removes outdated announcement times and marks servers whose announcements stopped.
func (s *Service) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for hash, at := range s.announcedAt {
		if now.Sub(at) > registry.SilentAfter {
			delete(s.announcedAt, hash)
		}
	}
	if s.table.Expire(now) {
		s.notifyChanged()
	}
}

// shareAll sends every other replica the changes that it lacks, with or without a digest of
// live servers, waits for the responses and returns how many replicas have all changes.
func (s *Service) shareAll(ctx context.Context, digest bool) (confirmed int) {
	var wait sync.WaitGroup
	var count atomic.Int32
	for _, p := range s.otherReplicas() {
		wait.Go(func() {
			if s.share(ctx, p, digest) {
				count.Add(1)
			}
		})
	}
	wait.Wait()
	return int(count.Load())
}

func (s *Service) otherReplicas() []*peer {
	addresses := s.source.Controls()
	s.mu.Lock()
	defer s.mu.Unlock()
	for address, p := range s.peers {
		if !slices.Contains(addresses, address) {
			p.stopLosses()
			delete(s.peers, address)
		}
	}
	out := make([]*peer, 0, len(addresses))
	for _, address := range addresses {
		if address == s.ownAddress {
			continue
		}
		if s.peers[address] == nil {
			s.peers[address] = s.newPeer(address)
		}
		out = append(out, s.peers[address])
	}
	return out
}

// newPeer returns a replica, to which losses are reported until stopLosses is called or the
// service ends.
func (s *Service) newPeer(address string) *peer {
	p := &peer{client: rpc.NewClient(address, rpc.PurposeFleet), losses: NewLossSender(s.losses)}
	ctx, cancel := context.WithCancel(s.running)
	p.stopLosses = cancel
	go p.losses.Run(ctx, p.client.Do)
	return p
}

// share sends one replica the changes that it lacks and merges the response. It reports whether
// the replica has all changes of before the call. If the call fails, the next one sends the same
// changes again.
func (s *Service) share(ctx context.Context, p *peer, digest bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	request, revision := s.newShareRequest(p, digest)
	if !digest && len(request.GetServers()) == 0 {
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
	p.sentRevision = revision
	if len(response.GetUnknown()) > 0 {
		// The replica has restarted and lacks these servers; the next call sends all.
		p.sentRevision = 0
	}
	if departed := s.mergeServers(response.GetServers()); len(departed) > 0 {
		// The replica that sent them has stored them; an error is logged.
		go func() { _ = s.departures.Append(s.running, departed...) }()
	}
	if digest {
		p.losses.Compare(response.GetLossDigest(), time.Now())
	}
	if request.GetWantAll() {
		s.mu.Lock()
		s.synced = true
		s.mu.Unlock()
	}
	return true
}

func (s *Service) newShareRequest(p *peer, digest bool) (*fleetpb.ShareRequest, uint64) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	request := &fleetpb.ShareRequest{Instance: s.ownAddress, Servers: toServers(s.table.Since(p.sentRevision), now), WantAll: digest && !s.synced}
	if digest {
		request.LossDigest = s.losses.Digest()
		request.Loads = ToLoads(s.loads.recent(now, digestInterval+reportSlack), now)
		for hash, at := range s.announcedAt {
			request.Alive = append(request.Alive, hash)
			request.AgeMs = append(request.AgeMs, uint32(now.Sub(at).Milliseconds()))
		}
	}
	return request, s.table.Revision()
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
		changed = s.table.Merge(entry.Server, entry.LastAnnounced) || changed
		if merged, _ := s.table.Get(entry.ID); merged.State > registry.StateReady && !s.departures.IsStored(merged.Server) {
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
	s.loads.merge(request.GetLoads(), now)
	s.mu.Lock()
	defer s.mu.Unlock()
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
	}
	return response
}

// isSynced reports whether another replica's servers have been merged, or
// initialSyncTimeout has passed.
func (s *Service) isSynced() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.synced || time.Since(s.started) > initialSyncTimeout
}
