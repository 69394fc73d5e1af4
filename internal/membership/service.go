package membership

import (
	"context"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/oklog/run"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"storj.io/drpc"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/actor"
	"peridotwinch.example/peridotwinch/internal/balance"
	"peridotwinch.example/peridotwinch/internal/httpx"
	"peridotwinch.example/peridotwinch/internal/jsonx"
	"peridotwinch.example/peridotwinch/internal/rpc/memberpb"
	"peridotwinch.example/peridotwinch/internal/settings"
)

// maxAnnouncementBytes bounds the body of an announcement.
const maxAnnouncementBytes = 1 << 20

// Service receives announcements of backend servers and exchanges them with the
// routers of the failure domain in batches. It is safe for concurrent use.
type Service struct {
	log            zerolog.Logger
	instance       string
	domain         string
	heartbeat      time.Duration
	silenceTimeout time.Duration
	inFlightSource InFlightSource
	peers          []*peerLink
	remotes        []*remoteLink
	outgoing       outgoingSummary

	mu              sync.Mutex
	table           *Table
	lastContact     map[string]time.Time
	inFlightReports map[string]inFlightReport
	// presentCache is the last result of present.
	presentCache presentServers

	summaries map[string]domainSummary
}

// NewService returns the membership service of a router.
func NewService(s *settings.Settings, log zerolog.Logger) *Service {
	service := &Service{
		log:             log,
		instance:        s.Instance,
		domain:          s.FailureDomain,
		heartbeat:       s.Timeouts.Heartbeat(),
		silenceTimeout:  s.Timeouts.Silence(),
		table:           NewTable(s.Timeouts.Silence()),
		lastContact:     make(map[string]time.Time),
		inFlightReports: make(map[string]inFlightReport),
		summaries:       make(map[string]domainSummary),
	}
	for _, peer := range s.PeersWithRole(settings.RoleRouter) {
		switch {
		case peer.Instance == s.Instance:
		case peer.FailureDomain == s.FailureDomain:
			service.peers = append(service.peers, newPeerLink(peer))
		default:
			service.addRemote(peer)
		}
	}
	return service
}

// Register adds the service's RPCs to a server.
func (s *Service) Register(mux drpc.Mux) error { return memberpb.DRPCRegisterMember(mux, s) }

// ServeHTTP accepts an announcement of a backend server.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	announcement, err := decodeAnnouncement(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes))
	if err != nil {
		httpx.WriteError(w, err)
		return
	}
	s.mergeAnnouncement(time.Now(), announcement)
	w.WriteHeader(http.StatusNoContent)
}

// decodeAnnouncement returns an error with CodeAnnouncement and the field if the announcement is not
// valid or does not say to which incarnation it belongs and when it was sent.
func decodeAnnouncement(body io.Reader) (api.Announcement, error) {
	decoded := struct {
		api.Announcement
		Incarnation *uint64 `json:"incarnation"`
		Sequence    *uint64 `json:"sequence"`
	}{}
	if err := jsonx.Decode(body, &decoded); err != nil {
		return api.Announcement{}, api.TextError(api.CodeAnnouncement, "", err)
	}
	switch {
	case decoded.Incarnation == nil:
		return api.Announcement{}, api.FieldErrorf(api.CodeAnnouncement, "incarnation", "missing")
	case decoded.Sequence == nil:
		return api.Announcement{}, api.FieldErrorf(api.CodeAnnouncement, "sequence", "missing")
	}
	out := decoded.Announcement
	out.Incarnation, out.Sequence = *decoded.Incarnation, *decoded.Sequence
	if err := out.Validate(); err != nil {
		return api.Announcement{}, err
	}
	return out, nil
}

// mergeAnnouncement merges an announcement that this router received and marks it as
// pending for the peers. A draining server triggers an immediate exchange.
func (s *Service) mergeAnnouncement(now time.Time, announcement api.Announcement) {
	announcement.CacheEvents = nil
	s.mu.Lock()
	s.table.Advance(now)
	change := s.table.Merge(now, announcement)
	s.mu.Unlock()
	urgent := change == ChangeContent && announcement.State == api.ServerDraining
	for _, peer := range s.peers {
		peer.addPending(announcement.Address, change)
		if urgent {
			peer.requestExchange()
		}
	}
}

// Servers returns the backend servers in the table that are not silent, by address.
func (s *Service) Servers() []Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.table.Advance(now)
	servers := s.table.Servers()
	s.addPeerInFlight(now, servers)
	return servers
}

// Version changes whenever a server joins, leaves or changes a field other than its
// load.
func (s *Service) Version() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Version()
}

// RouterRank returns this router's rank among the live routers of its failure domain.
func (s *Service) RouterRank() balance.RouterRank {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	rank := balance.RouterRank{Count: 1}
	for _, peer := range s.peers {
		if !s.isLive(now, peer) {
			rank.Missing++
			continue
		}
		rank.Count++
		if peer.instance < s.instance {
			rank.Rank++
		}
	}
	return rank
}

// LiveRouters returns the sorted instance names of the live routers of this failure
// domain, including this one.
func (s *Service) LiveRouters() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	live := []string{s.instance}
	for _, peer := range s.peers {
		if s.isLive(now, peer) {
			live = append(live, peer.instance)
		}
	}
	slices.Sort(live)
	return live
}

// Ready returns an error until an exchange with each peer has been attempted.
func (s *Service) Ready() error {
	for _, peer := range s.peers {
		if !peer.exchangeAttempted.Load() {
			return errors.Errorf("membership: no exchange with router %s has been attempted yet", peer.instance)
		}
	}
	return nil
}

// Run exchanges announcements with the peers and sends summaries until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	var group run.Group
	actor.AddContext(ctx, &group)
	for _, peer := range s.peers {
		actor.Add(&group, func(ctx context.Context) error { return s.runPeer(ctx, peer) })
	}
	actor.Add(&group, s.runRemotes)
	return group.Run()
}

// Exchange implements the Exchange RPC.
func (s *Service) Exchange(_ context.Context, request *memberpb.ExchangeRequest) (*memberpb.ExchangeResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.table.Advance(now)
	s.mergeEntries(now, request.GetEntries())
	response := &memberpb.ExchangeResponse{}
	response.Unknown = s.mergeLivenessBatch(now, request.GetServing(), api.ServerServing, response.Unknown)
	response.Unknown = s.mergeLivenessBatch(now, request.GetDraining(), api.ServerDraining, response.Unknown)
	if slices.ContainsFunc(s.peers, func(p *peerLink) bool { return p.instance == request.GetInstance() }) {
		s.lastContact[request.GetInstance()] = now
		s.recordInFlight(now, request.GetInstance(), request.GetInFlightOf(), request.GetInFlight())
	}
	response.UnknownSummaries = s.recordSummaries(now, request.GetSummaries(), fromPeer)
	if request.GetWantAll() {
		for _, record := range s.table.Records() {
			response.Entries = append(response.Entries, toEntry(now, record))
		}
	}
	return response, nil
}

func (s *Service) mergeEntries(now time.Time, entries []*memberpb.Entry) {
	for _, entry := range entries {
		receivedAt := now.Add(-time.Duration(entry.GetAgeMs()) * time.Millisecond)
		since := now.Add(-time.Duration(entry.GetKnownMs()) * time.Millisecond)
		announcement := fromEntry(entry)
		if announcement.Validate() == nil {
			s.table.MergeReceivedAt(announcement, receivedAt, since)
		}
	}
}

// mergeLivenessBatch merges a batch of liveness updates and appends the IDs that are
// not in the table to unknown.
func (s *Service) mergeLivenessBatch(now time.Time, batch *memberpb.Liveness, state api.ServerState, unknown []uint64) []uint64 {
	sequences, loads := batch.GetSequences(), batch.GetLoads()
	for i, id := range batch.GetIds() {
		if i >= len(sequences) || i >= len(loads) {
			return unknown
		}
		if _, ok := s.table.MergeLiveness(now, ServerID(id), sequences[i], int(loads[i]), state); !ok {
			unknown = append(unknown, id)
		}
	}
	return unknown
}
