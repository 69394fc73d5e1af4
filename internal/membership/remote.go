package membership

import (
	"cmp"
	"context"
	"slices"
	"time"

	"storj.io/drpc"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/rpc"
	"peridotwinch.example/peridotwinch/internal/rpc/memberpb"
	"peridotwinch.example/peridotwinch/internal/settings"
)

// Times of the summaries between failure domains.
const (
	// summarizeEvery is the time between two summaries to a failure domain.
	summarizeEvery = time.Second
	// summarizeTimeout bounds one summary.
	summarizeTimeout = time.Second
	// SummaryAge is the age at which a summary counts no more.
	SummaryAge = 3 * time.Second
)

// remoteLink leads to the routers of another failure domain.
type remoteLink struct {
	domain  string
	routers []remoteRouter
	next    int
}

// remoteRouter is a router of another failure domain.
type remoteRouter struct {
	instance string
	callers  string
	client   *rpc.Client
}

// PoolSummary is the load of a pool in another failure domain.
type PoolSummary struct {
	Domain  string
	Pool    api.Ref
	Servers int
	Slots   int
	Load    int
	// Callers lists the callers' addresses of the failure domain's routers.
	Callers []string
}

// domainSummary is the newest summary of a failure domain.
type domainSummary struct {
	receivedAt time.Time
	pools      []PoolSummary
}

func (s *Service) addRemote(peer settings.Peer) {
	i := slices.IndexFunc(s.remotes, func(r *remoteLink) bool { return r.domain == peer.FailureDomain })
	if i < 0 {
		s.remotes = append(s.remotes, &remoteLink{domain: peer.FailureDomain})
		i = len(s.remotes) - 1
	}
	s.remotes[i].routers = append(s.remotes[i].routers, remoteRouter{
		instance: peer.Instance, callers: peer.Callers, client: rpc.NewClient(peer.Address, rpc.PurposeMember),
	})
}

// runRemote sends summaries to the routers of a failure domain in turn.
func (s *Service) runRemote(ctx context.Context, remote *remoteLink) error {
	ticker := time.NewTicker(summarizeEvery)
	defer ticker.Stop()
	for {
		s.summarize(ctx, remote)
		select {
		case <-ctx.Done():
			for _, router := range remote.routers {
				router.client.Close()
			}
			return nil
		case <-ticker.C:
		}
	}
}

// summarize sends this failure domain's summary to the next router of another.
// The routers of this domain start at different ones, so that together they
// reach each router of the other domain about every second.
func (s *Service) summarize(ctx context.Context, remote *remoteLink) {
	router := remote.routers[(s.Place().Rank+remote.next)%len(remote.routers)]
	remote.next++
	ctx, cancel := context.WithTimeout(ctx, summarizeTimeout)
	defer cancel()
	request := s.summarizeRequest()
	err := router.client.Do(ctx, func(ctx context.Context, conn drpc.Conn) error {
		_, err := memberpb.NewDRPCMemberClient(conn).Summarize(ctx, request)
		return err
	})
	if err != nil && ctx.Err() == nil {
		s.log.Debug().Err(err).Str("peer", router.instance).Msg("summary not taken")
	}
}

func (s *Service) summarizeRequest() *memberpb.SummarizeRequest {
	request := &memberpb.SummarizeRequest{FailureDomain: s.domain}
	for _, server := range s.Servers() {
		if server.State == api.ServerServing {
			addToSummary(request, &server)
		}
	}
	return request
}

func addToSummary(request *memberpb.SummarizeRequest, server *Server) {
	i := slices.IndexFunc(request.Pools, func(p *memberpb.PoolSummary) bool { return p.Pool == string(server.Pool) })
	if i < 0 {
		request.Pools = append(request.Pools, &memberpb.PoolSummary{Pool: string(server.Pool)})
		i = len(request.Pools) - 1
	}
	pool := request.Pools[i]
	pool.Servers++
	pool.Slots += uint32(server.Slots)
	pool.Load += uint32(server.Load)
}

// Summarize implements the RPC service.
func (s *Service) Summarize(_ context.Context, request *memberpb.SummarizeRequest) (*memberpb.SummarizeResponse, error) {
	summary := domainSummary{receivedAt: time.Now()}
	for _, pool := range request.GetPools() {
		summary.pools = append(summary.pools, PoolSummary{
			Domain: request.GetFailureDomain(), Pool: api.Ref(pool.GetPool()),
			Servers: int(pool.GetServers()), Slots: int(pool.GetSlots()), Load: int(pool.GetLoad()),
		})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.summaries[request.GetFailureDomain()] = summary
	return &memberpb.SummarizeResponse{}, nil
}

// Summaries returns the fresh summaries of other failure domains' pools, by
// domain and pool.
func (s *Service) Summaries() []PoolSummary {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	var out []PoolSummary
	for _, remote := range s.remotes {
		summary := s.summaries[remote.domain]
		if now.Sub(summary.receivedAt) > SummaryAge {
			continue
		}
		for _, pool := range summary.pools {
			for _, router := range remote.routers {
				pool.Callers = append(pool.Callers, router.callers)
			}
			out = append(out, pool)
		}
	}
	slices.SortFunc(out, func(a, b PoolSummary) int {
		return cmp.Or(cmp.Compare(a.Domain, b.Domain), cmp.Compare(a.Pool, b.Pool))
	})
	return out
}
