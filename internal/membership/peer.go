package membership

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"storj.io/drpc"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/rpc"
	"peridotwinch.example/peridotwinch/internal/rpc/memberpb"
	"peridotwinch.example/peridotwinch/internal/settings"
)

// exchangeTimeout bounds one try of an exchange. Two tries, the second on a new
// connection, fit into the second in which a drain must reach all routers.
const exchangeTimeout = 400 * time.Millisecond

// peerLink holds what a router of the same failure domain has yet to be told.
type peerLink struct {
	instance string
	client   *rpc.Client
	urgent   chan struct{}
	// asked is set once the peer's whole table has been asked for.
	asked atomic.Bool

	mu       sync.Mutex
	whole    map[string]struct{}
	liveness map[string]struct{}
	// relayed holds what the peer has been told of other failure domains.
	relayed map[string]relayedSummary
}

func newPeerLink(peer settings.Peer) *peerLink {
	return &peerLink{
		instance: peer.Instance,
		client:   rpc.NewClient(peer.Address, rpc.PurposeMember),
		urgent:   make(chan struct{}, 1),
		whole:    make(map[string]struct{}),
		liveness: make(map[string]struct{}),
		relayed:  make(map[string]relayedSummary),
	}
}

// add notes that the peer has to hear of a server.
func (p *peerLink) add(address string, change Change) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch change {
	case ChangeContent:
		p.whole[address] = struct{}{}
	case ChangeLiveness:
		p.liveness[address] = struct{}{}
	}
}

func (p *peerLink) wake() {
	select {
	case p.urgent <- struct{}{}:
	default:
	}
}

// take returns what the peer has to hear, and forgets it.
func (p *peerLink) take() (whole, liveness map[string]struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	whole, liveness = p.whole, p.liveness
	p.whole = make(map[string]struct{})
	p.liveness = make(map[string]struct{})
	for address := range whole {
		delete(liveness, address)
	}
	return whole, liveness
}

// putBack notes records again whose exchange failed.
func (p *peerLink) putBack(whole map[string]struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address := range whole {
		p.whole[address] = struct{}{}
	}
}

// runPeer exchanges with a peer regularly, and at once where a server drains.
func (s *Service) runPeer(ctx context.Context, peer *peerLink) error {
	defer peer.client.Close()
	reached := false
	for {
		timer := time.NewTimer(ExchangeEvery(s.heartbeat, len(s.peers)))
		reached = s.exchange(ctx, peer, !reached)
		peer.asked.Store(true)
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-peer.urgent:
			timer.Stop()
		}
	}
}

// exchange tells a peer what it has yet to hear. It asks for the whole table on
// the first contact and after each failure. A failed try is repeated on a new
// connection, because only that tells a dead connection from a dead peer.
func (s *Service) exchange(ctx context.Context, peer *peerLink, wantAll bool) bool {
	whole, liveness := peer.take()
	request := s.exchangeRequest(whole, liveness, wantAll)
	request.Summaries = s.summariesFor(peer)
	response, err := callExchange(ctx, peer.client, request)
	if err != nil && ctx.Err() == nil {
		peer.client.Close()
		response, err = callExchange(ctx, peer.client, request)
	}
	if err != nil {
		peer.putBack(whole)
		if ctx.Err() == nil {
			s.log.Warn().Err(err).Str("peer", peer.instance).Msg("membership exchange failed")
		}
		return false
	}
	s.takeResponse(peer, response)
	s.summariesTaken(peer, request.GetSummaries(), response.GetUnknownSummaries())
	return true
}

func callExchange(ctx context.Context, client *rpc.Client, request *memberpb.ExchangeRequest) (*memberpb.ExchangeResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var response *memberpb.ExchangeResponse
	err := client.Do(ctx, func(ctx context.Context, conn drpc.Conn) error {
		var err error
		response, err = memberpb.NewDRPCMemberClient(conn).Exchange(ctx, request)
		return err
	})
	return response, err
}

func (s *Service) exchangeRequest(whole, liveness map[string]struct{}, wantAll bool) *memberpb.ExchangeRequest {
	request, addresses := s.tableRequest(whole, liveness, wantAll)
	if s.inFlight != nil {
		request.InFlight = s.inFlight.InFlight(addresses)
	}
	return request
}

func (s *Service) tableRequest(whole, liveness map[string]struct{}, wantAll bool) (*memberpb.ExchangeRequest, []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	request := &memberpb.ExchangeRequest{
		Instance: s.instance, WantAll: wantAll,
	}
	for address := range whole {
		if record, ok := s.table.Record(address); ok {
			request.Entries = append(request.Entries, toEntry(now, record))
		}
	}
	for address := range liveness {
		if record, ok := s.table.Record(address); ok {
			appendLiveness(request, &record)
		}
	}
	s.table.Advance(now)
	addresses, digest := s.present()
	request.InFlightOf = digest
	return request, addresses
}

func appendLiveness(request *memberpb.ExchangeRequest, record *Server) {
	batch := &request.Serving
	if record.State == api.ServerDraining {
		batch = &request.Draining
	}
	if *batch == nil {
		*batch = &memberpb.Liveness{}
	}
	(*batch).Ids = append((*batch).Ids, uint64(record.id()))
	(*batch).Sequences = append((*batch).Sequences, record.Sequence)
	(*batch).Loads = append((*batch).Loads, uint32(record.Load))
}

// takeResponse merges a peer's table and notes the records that it lacks.
func (s *Service) takeResponse(peer *peerLink, response *memberpb.ExchangeResponse) {
	s.mu.Lock()
	now := time.Now()
	s.heard[peer.instance] = now
	s.mergeEntries(now, response.GetEntries())
	var lacking []string
	for _, id := range response.GetUnknown() {
		if address, ok := s.table.Address(ServerID(id)); ok {
			lacking = append(lacking, address)
		}
	}
	s.mu.Unlock()
	for _, address := range lacking {
		peer.add(address, ChangeContent)
	}
}

func toEntry(now time.Time, server Server) *memberpb.Entry {
	return &memberpb.Entry{
		Address: server.Address, Incarnation: server.Incarnation, Sequence: server.Sequence,
		Pool: string(server.Pool), Models: server.Models, State: string(server.State),
		Slots: uint32(server.Slots), Load: uint32(server.Load), ChecksFencing: server.ChecksFencing,
		AgeMs:   uint32(max(now.Sub(server.ReceivedAt), 0).Milliseconds()),
		KnownMs: uint32(max(now.Sub(server.Since), 0).Milliseconds()),
	}
}

func fromEntry(e *memberpb.Entry) api.Announcement {
	return api.Announcement{
		Address: e.GetAddress(), Incarnation: e.GetIncarnation(), Sequence: e.GetSequence(),
		Pool: api.Ref(e.GetPool()), Models: e.GetModels(), State: api.ServerState(e.GetState()),
		Slots: int(e.GetSlots()), Load: int(e.GetLoad()), ChecksFencing: e.GetChecksFencing(),
	}
}
