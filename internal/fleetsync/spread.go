// Package fleetsync passes the backend servers that announce themselves to one
// control replica on to the others and, with the route table, to the routers.
package fleetsync

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"storj.io/drpc"

	"peridotwinch.example/peridotwinch/internal/actor"
	"peridotwinch.example/peridotwinch/internal/registry"
	"peridotwinch.example/peridotwinch/internal/routetable"
	"peridotwinch.example/peridotwinch/internal/rpc"
	"peridotwinch.example/peridotwinch/internal/rpc/fleetpb"
)

const (
	// HeartbeatEvery is the longest pause between two events of a stream to a
	// router. Three of them fit into the time in which a router has to notice
	// that its control replica is gone.
	HeartbeatEvery = 400 * time.Millisecond
	// shareEvery is the time between two digests of living servers; it is well
	// below registry.SilentAfter.
	shareEvery = 700 * time.Millisecond
	// shareTimeout bounds a call to another control replica, and so the time that
	// an announcement waits for the replicas that do not answer: a server waits
	// 1 s for its confirmation.
	shareTimeout = 400 * time.Millisecond
	// confirmTimeout bounds the question to a majority when a router comes.
	confirmTimeout = 1500 * time.Millisecond
	// syncPatience is how long a starting replica waits for the other replicas'
	// servers before it serves routers with what it has.
	syncPatience = 1500 * time.Millisecond
	// syncEvery is the time between two questions for the other replicas' servers while
	// none has answered: after a restart of all of them the first question comes too soon.
	syncEvery = 100 * time.Millisecond
	// currentPoll is how often a stream checks that its replica has a majority.
	currentPoll = 200 * time.Millisecond
)

var errNotCurrent = errors.New("this control replica hears no majority")

// Replica is the control replica whose state is spread.
type Replica interface {
	// RouteTable returns the route table that this replica has, or nil.
	RouteTable() *routetable.Document
	// Subscribe returns a channel that gets a value after each change.
	Subscribe() (<-chan struct{}, func())
	// Barrier waits until the replica has all that was confirmed before the call.
	Barrier(ctx context.Context) error
	// HasQuorum reports whether the replica hears a majority.
	HasQuorum() bool
	// Replicas returns the RPC addresses of all control replicas.
	Replicas() []string
}

// Service keeps the registry of a control replica.
type Service struct {
	log     zerolog.Logger
	own     string
	group   Replica
	started time.Time
	loads   *loads
	tables  tables
	// unshared asks for what has changed to be told to the other replicas.
	unshared chan struct{}
	confirms *sharedCall
	// opening bounds the streams that begin at a time.
	opening chan struct{}
	pacer   *pacer

	mu      sync.Mutex
	table   *registry.Table
	heard   map[uint64]time.Time
	changed chan struct{}
	// recordsBySince has what changed above revisions, as of revision recordsAt.
	recordsBySince map[uint64]*recordList
	recordsAt      uint64

	synced bool
	peers  map[string]*peer
}

// peer is another control replica.
type peer struct {
	client *rpc.Client
	// told is the revision of the registry up to which the replica was told.
	told uint64
	mu   sync.Mutex
}

// NewService returns the service of the replica with the given RPC address, on a link of
// linkMbps Mbit/s; 0 where that is not known.
func NewService(own string, group Replica, linkMbps float64, log zerolog.Logger) *Service {
	return &Service{
		log: log, own: own, group: group, started: time.Now(), table: registry.New(), loads: newLoads(),
		heard: make(map[uint64]time.Time), changed: make(chan struct{}), peers: make(map[string]*peer),
		recordsBySince: make(map[uint64]*recordList), unshared: make(chan struct{}, 1),
		confirms: newSharedCall(group.Barrier), opening: make(chan struct{}, maxOpening), pacer: newPacer(linkMbps),
	}
}

// Register adds the service's RPCs to a server.
func (s *Service) Register(mux drpc.Mux) error { return fleetpb.DRPCRegisterFleet(mux, s) }

// Announce takes an announcement. That a server leaves is passed to the other replicas
// before Announce returns, as far as they answer in time.
func (s *Service) Announce(ctx context.Context, server registry.Server) {
	now := time.Now()
	s.mu.Lock()
	if s.table.IsStale(server) {
		known, _ := s.table.Get(server.ID)
		s.mu.Unlock()
		s.log.Info().Str("server", server.ID).Uint8("state", uint8(server.State)).Uint64("sequence", server.Sequence).
			Int64("born", server.StartedMS).Uint8("knownState", uint8(known.State)).Uint64("knownSequence", known.Sequence).
			Int64("knownBorn", known.StartedMS).Msg("late announcement dropped")
		return
	}
	news := s.table.Merge(server, now)
	s.heard[server.Hash()] = now
	if news {
		s.signal()
	}
	s.mu.Unlock()
	if !news {
		return
	}
	s.log.Info().Str("server", server.ID).Str("address", server.Address).Str("pool", server.Pool).
		Uint8("state", uint8(server.State)).Uint64("sequence", server.Sequence).Int64("born", server.StartedMS).Msg("backend server changed")
	if server.State == registry.StateReady {
		// Nothing goes wrong where others learn of it a moment later, and after a restart of
		// all every server is news.
		s.shareSoon()
		return
	}
	s.shareAll(ctx, false)
}

// shareSoon has the other replicas told of what has changed, without waiting.
func (s *Service) shareSoon() {
	select {
	case s.unshared <- struct{}{}:
	default:
	}
}

// Withdraw notes that a server leaves, and passes that on as Announce does.
func (s *Service) Withdraw(ctx context.Context, id string) {
	s.mu.Lock()
	known := s.table.Withdraw(id, time.Now())
	s.signal()
	s.mu.Unlock()
	s.log.Info().Str("server", id).Bool("known", known).Msg("backend server withdrawn")
	if known {
		s.shareAll(ctx, false)
	}
}

// signal wakes all streams; mu is held.
func (s *Service) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Run shares digests and changes until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	go s.shareChanges(ctx)
	for {
		s.shareAll(ctx, true)
		pause := shareEvery
		if !s.isSynced() {
			pause = syncEvery
		}
		if !actor.Sleep(ctx, pause) {
			return nil
		}
		s.expire(time.Now())
	}
}

// shareChanges tells the other replicas what shareSoon was called for.
func (s *Service) shareChanges(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.unshared:
		}
		if !actor.Sleep(ctx, gatherFor) {
			return
		}
		s.shareAll(ctx, false)
	}
}

func (s *Service) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for hash, at := range s.heard {
		if now.Sub(at) > registry.SilentAfter {
			delete(s.heard, hash)
		}
	}
	if s.table.Expire(now) {
		s.signal()
	}
}

// shareAll tells every other replica what it lacks, with a digest or without,
// and waits for the answers.
func (s *Service) shareAll(ctx context.Context, digest bool) {
	var wait sync.WaitGroup
	for _, p := range s.others() {
		wait.Go(func() { s.share(ctx, p, digest) })
	}
	wait.Wait()
}

func (s *Service) others() []*peer {
	addresses := s.group.Replicas()
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*peer, 0, len(addresses))
	for _, address := range addresses {
		if address == s.own {
			continue
		}
		if s.peers[address] == nil {
			s.peers[address] = &peer{client: rpc.NewClient(address, rpc.PurposeFleet)}
		}
		out = append(out, s.peers[address])
	}
	return out
}

func (s *Service) share(ctx context.Context, p *peer, digest bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	request, revision := s.shareRequest(p, digest)
	if !digest && len(request.GetServers()) == 0 {
		return
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
		s.log.Debug().Err(err).Str("peer", p.client.Address()).Msg("backend servers not shared")
		return
	}
	p.told = revision
	if len(response.GetUnknown()) > 0 {
		// The replica has started anew; it is told all with the next call.
		p.told = 0
	}
	s.take(response.GetServers())
	if request.GetWantAll() {
		s.mu.Lock()
		s.synced = true
		s.mu.Unlock()
	}
}

func (s *Service) shareRequest(p *peer, digest bool) (*fleetpb.ShareRequest, uint64) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	request := &fleetpb.ShareRequest{Instance: s.own, Servers: toServers(s.table.Since(p.told), now), WantAll: digest && !s.synced}
	if digest {
		request.Loads = ToLoads(s.loads.recent(now, shareEvery+reportSlack), now)
		for hash, at := range s.heard {
			request.Alive = append(request.Alive, hash)
			request.AgeMs = append(request.AgeMs, uint32(now.Sub(at).Milliseconds()))
		}
	}
	return request, s.table.Revision()
}

// take merges records of another replica.
func (s *Service) take(servers []*fleetpb.Server) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	news := false
	for _, record := range servers {
		entry := FromServer(record, now)
		news = s.table.Merge(entry.Server, entry.LastAnnounced) || news
	}
	if news {
		s.signal()
	}
}

// Share implements the RPC service.
func (s *Service) Share(_ context.Context, request *fleetpb.ShareRequest) (*fleetpb.ShareResponse, error) {
	s.take(request.GetServers())
	now := time.Now()
	s.loads.take(request.GetLoads(), now)
	s.mu.Lock()
	defer s.mu.Unlock()
	response := &fleetpb.ShareResponse{}
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
		s.signal()
	}
	if request.GetWantAll() {
		response.Servers = toServers(s.table.Since(0), now)
	}
	return response, nil
}

// isSynced reports whether the registry has what the other replicas know.
func (s *Service) isSynced() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.synced || time.Since(s.started) > syncPatience
}
