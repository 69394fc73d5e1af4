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
	"peridotwinch.example/peridotwinch/internal/slotshare"
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
	// assignedAt is when the servers that are assigned to this replica last announced themselves.
	assignedAt map[uint64]time.Time
	// synced reports that another replica has answered with all its servers.
	synced bool
	peers  map[string]*peer
	// replicas holds the numbers of routers that follow each control replica, by its address.
	replicas *relay.Subtrees
	// replicaLoads holds the sums that the other replicas have sent; routerSelection and
	// replicaSelection are the loads that routers and the other replicas receive in a large fleet.
	replicaLoads     *poolLoads
	routerSelection  loadSelection
	replicaSelection loadSelection
	// runningSince is when the process started or was last continued, lastRunning when it was
	// last seen to run.
	runningSince, lastRunning time.Time
}

// peer is another control replica.
type peer struct {
	client *rpc.Client
	// sentRevision is the registry revision up to which the replica has received all
	// changes.
	sentRevision uint64
	// sentStatements is what the replica has received of the statements on rate limits, and
	// sentRouters the number of routers that it was last sent.
	sentStatements statementCursor
	sentRouters    int
	// sent holds the announcement times that the other replica was last sent.
	sent sentLiveness
	// sentCoordinator is the coordinator of slots that the replica was last sent.
	sentCoordinator slotshare.Name
	mu              sync.Mutex
	losses          *LossSender
	stopLosses      context.CancelFunc
}

// NewService returns the service of the replica with the given RPC address. linkMbps is the
// bandwidth of the instance's link in Mbit/s; 0 means unknown and disables pacing. The registry
// starts with the stored departures.
func NewService(address string, source Source, losses *quarantine.Store, departures *DepartureLog, limits relay.Limits, linkMbps float64, log zerolog.Logger) *Service {
	s := &Service{
		departures: departures,
		started:    time.Now(), announcedAt: make(map[uint64]time.Time), assignedAt: make(map[uint64]time.Time), peers: make(map[string]*peer), replicas: relay.NewSubtrees(), replicaLoads: newPoolLoads(),
		sharePending: make(chan struct{}, 1),
	}
	s.running, s.stop = context.WithCancel(context.Background())
	s.publisher = newPublisher(address, source, losses, limits, linkMbps, log)
	s.publisher.isSynced = s.isSynced
	s.onReportNews = s.scheduleShare
	s.publisher.numbering = s.numbering
	for _, e := range departures.Entries(s.started) {
		s.table.MergeRecord(e)
	}
	return s
}

// Register adds the service's RPCs to a server.
func (s *Service) Register(mux drpc.Mux) error { return fleetpb.DRPCRegisterFleet(mux, s) }

// Announce merges an announcement into the registry, or drops it if it is stale. If the
// server is not ready, for example because it drains, Announce returns after it has stored the
// change and sent it to the other replicas, which store it too; a replica that does not answer in
// time receives it later. The error has api.CodeNoQuorum if no replica has stored it in time, and
// api.CodeAnnouncementOld if a later announcement says that the server is ready: it then goes on
// receiving requests.
func (s *Service) Announce(ctx context.Context, server registry.Server) error {
	now := time.Now()
	s.mu.Lock()
	if s.table.IsStale(server, now) {
		known, _ := s.table.Get(server.ID)
		s.mu.Unlock()
		announcementsLate.Inc()
		s.log.Info().Str("server", server.ID).Uint8("state", uint8(server.State)).Uint64("sequence", server.Sequence).
			Int64("born", server.StartedMS).Uint8("knownState", uint8(known.State)).Uint64("knownSequence", known.Sequence).
			Int64("knownBorn", known.StartedMS).Msg("late announcement dropped")
		if server.State != registry.StateReady && known.State == registry.StateReady {
			return api.Errorf(api.CodeAnnouncementOld, "a later announcement of server %q says that it is ready: started at %d, sequence %d",
				server.ID, known.StartedMS, known.Sequence)
		}
		return nil
	}
	changed := s.table.Merge(server, now)
	s.announcedAt[server.Hash()] = now
	if changed {
		s.notifyChanged()
	}
	s.mu.Unlock()
	if !changed {
		announcementsRepeated.Inc()
		return s.storeDeparture(ctx, server.ID)
	}
	announcementsChanged.Inc()
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
	if !known || entry.State == registry.StateReady || s.departures.IsStored(entry) {
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
// it returns, as Announce does. This replica may not know the server, for example right after its
// start, while routers still use it. The error has api.CodeWithdrawalsFull if too many unknown servers have
// withdrawn, and api.CodeAnnouncement if the ID is not valid.
func (s *Service) Withdraw(ctx context.Context, id string) error {
	if err := registry.ValidateID(id); err != nil {
		return err
	}
	s.mu.Lock()
	known, recorded := s.table.Withdraw(id, time.Now())
	s.notifyChanged()
	s.mu.Unlock()
	if !recorded {
		s.log.Warn().Str("server", id).Msg("withdrawal refused: too many unknown backend servers have withdrawn")
		return api.FieldErrorf(api.CodeWithdrawalsFull, registry.FieldID, "%d unknown backend servers have withdrawn within %v", registry.MaxWithdrawn, registry.EntryRetention)
	}
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
		s.electCoordinator(time.Now())
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
	s.noteRunning(now)
	for hash, at := range s.announcedAt {
		if now.Sub(at) > registry.SilentAfter {
			delete(s.announcedAt, hash)
		}
	}
	for hash := range s.assignedAt {
		if _, announced := s.announcedAt[hash]; !announced {
			delete(s.assignedAt, hash)
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
	p := &peer{client: rpc.NewClient(address, rpc.PurposeFleet), losses: NewLossSender(s.losses), sent: make(sentLiveness)}
	ctx, cancel := context.WithCancel(s.running)
	p.stopLosses = cancel
	go p.losses.Run(ctx, p.client.Do)
	return p
}

// isSynced reports whether another replica's servers have been merged, or
// initialSyncTimeout has passed.
func (s *Service) isSynced() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.synced || time.Since(s.started) > initialSyncTimeout
}
