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

// exchangeTimeout bounds one attempt of an exchange. Two attempts, the second on a
// new connection, fit into the one second within which a drain must reach all
// routers.
const exchangeTimeout = 400 * time.Millisecond

// peerLink holds the connection to a router of the same failure domain and the
// updates that are pending for it.
type peerLink struct {
	instance string
	client   *rpc.Client
	// exchangeNow triggers an exchange before the interval has passed.
	exchangeNow chan struct{}
	// exchangeAttempted is set after the first exchange, which requests the peer's whole
	// table, has succeeded or failed.
	exchangeAttempted atomic.Bool

	mu              sync.Mutex
	pendingRecords  map[string]struct{}
	pendingLiveness map[string]struct{}
	// relayed holds the summaries of other failure domains that the peer has accepted.
	relayed map[string]relayedSummary
}

func newPeerLink(peer settings.Peer) *peerLink {
	return &peerLink{
		instance:        peer.Instance,
		client:          rpc.NewClient(peer.Address, rpc.PurposeMember),
		exchangeNow:     make(chan struct{}, 1),
		pendingRecords:  make(map[string]struct{}),
		pendingLiveness: make(map[string]struct{}),
		relayed:         make(map[string]relayedSummary),
	}
}

// addPending marks an update of a server as pending.
func (p *peerLink) addPending(address string, change Change) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch change {
	case ChangeContent:
		p.pendingRecords[address] = struct{}{}
	case ChangeLiveness:
		p.pendingLiveness[address] = struct{}{}
	}
}

func (p *peerLink) requestExchange() {
	select {
	case p.exchangeNow <- struct{}{}:
	default:
	}
}

// takePending returns and clears the pending updates. A server whose whole record is
// pending needs no separate liveness update.
func (p *peerLink) takePending() (records, liveness map[string]struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	records, liveness = p.pendingRecords, p.pendingLiveness
	p.pendingRecords = make(map[string]struct{})
	p.pendingLiveness = make(map[string]struct{})
	for address := range records {
		delete(liveness, address)
	}
	return records, liveness
}

// restorePending marks the records of a failed exchange as pending again.
func (p *peerLink) restorePending(records map[string]struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address := range records {
		p.pendingRecords[address] = struct{}{}
	}
}

// runPeer exchanges with a peer periodically, and immediately if a server starts to
// drain.
func (s *Service) runPeer(ctx context.Context, peer *peerLink) error {
	defer peer.client.Close()
	succeeded := false
	for {
		timer := time.NewTimer(ExchangeInterval(s.heartbeat, len(s.peers)))
		succeeded = s.exchange(ctx, peer, !succeeded)
		peer.exchangeAttempted.Store(true)
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-peer.exchangeNow:
			timer.Stop()
		}
	}
}

// exchange sends the pending updates to a peer. With wantAll it requests the peer's
// whole table, as on the first contact and after each failure. A failed attempt is
// repeated on a new connection, because only that distinguishes a dead connection
// from a dead peer.
func (s *Service) exchange(ctx context.Context, peer *peerLink, wantAll bool) bool {
	records, liveness := peer.takePending()
	request := s.exchangeRequest(records, liveness, wantAll)
	request.Summaries = s.summariesFor(peer)
	response, err := callExchange(ctx, peer.client, request)
	if err != nil && ctx.Err() == nil {
		peer.client.Close()
		response, err = callExchange(ctx, peer.client, request)
	}
	if err != nil {
		peer.restorePending(records)
		if ctx.Err() == nil {
			s.log.Warn().Err(err).Str("peer", peer.instance).Msg("membership exchange failed")
		}
		return false
	}
	s.applyResponse(peer, response)
	s.recordRelayed(peer, request.GetSummaries(), response.GetUnknownSummaries())
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

func (s *Service) exchangeRequest(records, liveness map[string]struct{}, wantAll bool) *memberpb.ExchangeRequest {
	request, addresses := s.tableRequest(records, liveness, wantAll)
	if s.inFlightSource != nil {
		request.InFlight = s.inFlightSource.InFlight(addresses)
	}
	return request
}

// tableRequest builds a request from the table. It also returns the addresses of the
// servers for which in-flight counts are to be sent.
func (s *Service) tableRequest(records, liveness map[string]struct{}, wantAll bool) (*memberpb.ExchangeRequest, []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	request := &memberpb.ExchangeRequest{
		Instance: s.instance, WantAll: wantAll,
	}
	for address := range records {
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

// applyResponse merges a peer's table and marks the records that the peer lacks as
// pending.
func (s *Service) applyResponse(peer *peerLink, response *memberpb.ExchangeResponse) {
	s.mu.Lock()
	now := time.Now()
	s.lastContact[peer.instance] = now
	s.mergeEntries(now, response.GetEntries())
	var unknown []string
	for _, id := range response.GetUnknown() {
		if address, ok := s.table.Address(ServerID(id)); ok {
			unknown = append(unknown, address)
		}
	}
	s.mu.Unlock()
	for _, address := range unknown {
		peer.addPending(address, ChangeContent)
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
