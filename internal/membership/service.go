package membership

import (
	"context"
	"net/http"
	"sync"
	"time"

	"encoding/json"

	"github.com/rs/zerolog"
	"storj.io/drpc"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/httpx"
	"peridotwinch.example/peridotwinch/internal/rpc"
	"peridotwinch.example/peridotwinch/internal/rpc/memberpb"
	"peridotwinch.example/peridotwinch/internal/settings"
)

// maxAnnouncementBytes bounds the body of an announcement.
const maxAnnouncementBytes = 1 << 20

// Service takes announcements and spreads them among the routers of the
// failure domain in batches. It is safe for concurrent use.
type Service struct {
	log       zerolog.Logger
	instance  string
	domain    string
	heartbeat time.Duration
	peers     []*rpc.Client

	mu      sync.Mutex
	table   *Table
	pending []api.Announcement
}

// NewService returns the membership service of a router.
func NewService(s *settings.Settings, log zerolog.Logger) *Service {
	service := &Service{
		log:       log,
		instance:  s.Instance,
		domain:    s.FailureDomain,
		heartbeat: s.Timeouts.Heartbeat(),
		table:     NewTable(s.Timeouts.Silence()),
	}
	for _, peer := range s.PeersWithRole(settings.RoleRouter) {
		if peer.Instance != s.Instance && peer.FailureDomain == s.FailureDomain {
			service.peers = append(service.peers, rpc.NewClient(peer.Address, rpc.PurposeMember))
		}
	}
	return service
}

// Register adds the service's RPCs to a server.
func (s *Service) Register(mux drpc.Mux) error { return memberpb.DRPCRegisterMember(mux, s) }

// ServeHTTP takes an announcement of a backend server.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	announcement := api.Announcement{}
	body := http.MaxBytesReader(w, r.Body, maxAnnouncementBytes)
	if err := json.NewDecoder(body).Decode(&announcement); err != nil {
		httpx.WriteError(w, api.Errorf(api.CodeAnnouncement, "%v", err))
		return
	}
	if err := announcement.Validate(); err != nil {
		httpx.WriteError(w, err)
		return
	}
	s.merge(announcement, true)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Service) merge(announcement api.Announcement, spread bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table.Merge(time.Now(), announcement) && spread {
		s.pending = append(s.pending, announcement)
	}
}

// Servers returns the backend servers that are known and not silent.
func (s *Service) Servers() []Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Expire(time.Now())
	return s.table.Servers()
}

// Run spreads announcements until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	ticker := time.NewTicker(s.heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			s.spread(ctx)
		}
	}
}

func (s *Service) spread(ctx context.Context) {
	s.mu.Lock()
	pending := s.pending
	s.pending = nil
	s.mu.Unlock()
	if len(pending) == 0 {
		return
	}
	request := &memberpb.ExchangeRequest{Instance: s.instance, FailureDomain: s.domain}
	for _, announcement := range pending {
		request.Entries = append(request.Entries, toEntry(announcement))
	}
	for _, peer := range s.peers {
		go s.send(ctx, peer, request)
	}
}

func (s *Service) send(ctx context.Context, peer *rpc.Client, request *memberpb.ExchangeRequest) {
	ctx, cancel := context.WithTimeout(ctx, rpc.DialTimeout)
	defer cancel()
	err := peer.Do(ctx, func(ctx context.Context, conn drpc.Conn) error {
		_, err := memberpb.NewDRPCMemberClient(conn).Exchange(ctx, request)
		return err
	})
	if err != nil && ctx.Err() == nil {
		s.log.Warn().Err(err).Str("peer", peer.Address()).Msg("membership exchange failed")
	}
}

// Exchange implements the RPC service.
func (s *Service) Exchange(_ context.Context, request *memberpb.ExchangeRequest) (*memberpb.ExchangeResponse, error) {
	for _, entry := range request.GetEntries() {
		s.merge(fromEntry(entry), false)
	}
	return &memberpb.ExchangeResponse{}, nil
}

func toEntry(a api.Announcement) *memberpb.Entry {
	return &memberpb.Entry{
		Address: a.Address, Incarnation: a.Incarnation, Sequence: a.Sequence,
		Pool: string(a.Pool), Models: a.Models, State: string(a.State),
		Slots: uint32(a.Slots), Load: uint32(a.Load), ChecksFencing: a.ChecksFencing,
	}
}

func fromEntry(e *memberpb.Entry) api.Announcement {
	return api.Announcement{
		Address: e.GetAddress(), Incarnation: e.GetIncarnation(), Sequence: e.GetSequence(),
		Pool: api.Ref(e.GetPool()), Models: e.GetModels(), State: api.ServerState(e.GetState()),
		Slots: int(e.GetSlots()), Load: int(e.GetLoad()), ChecksFencing: e.GetChecksFencing(),
	}
}
