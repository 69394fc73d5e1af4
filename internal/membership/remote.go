package membership

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"storj.io/drpc"

	"peridotwinch.example/peridotwinch/internal/rpc"
	"peridotwinch.example/peridotwinch/internal/rpc/memberpb"
	"peridotwinch.example/peridotwinch/internal/settings"
)

// Times of the summaries between failure domains.
const (
	// summarizeEvery is the time between two looks at the own failure domain.
	summarizeEvery = time.Second
	// confirmEvery is the time after which an unchanged summary is confirmed.
	confirmEvery = 2 * time.Second
	// summarizeTimeout bounds one summary.
	summarizeTimeout = time.Second
	// SummaryAge is the age at which a summary counts no more.
	SummaryAge = 6 * time.Second
)

// remoteLink leads to the routers of another failure domain.
type remoteLink struct {
	domain  string
	routers []remoteRouter
	// next is the router that takes the summaries; a failure moves it on.
	next int
	// told is the version that this router has taken, or zero.
	told   uint64
	sentAt time.Time
}

// remoteRouter is a router of another failure domain.
type remoteRouter struct {
	instance string
	callers  string
	client   *rpc.Client
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

// runRemotes sends summaries to the failure domains that this router reports to.
func (s *Service) runRemotes(ctx context.Context) error {
	ticker := time.NewTicker(summarizeEvery)
	defer ticker.Stop()
	for {
		s.summarizeAll(ctx, time.Now())
		select {
		case <-ctx.Done():
			s.closeRemotes()
			return nil
		case <-ticker.C:
		}
	}
}

func (s *Service) closeRemotes() {
	for _, remote := range s.remotes {
		for _, router := range remote.routers {
			router.client.Close()
		}
	}
}

// summarizeAll sends the summary to each failure domain for which it is due. A
// router that has not asked its peers yet knows too little to summarize.
func (s *Service) summarizeAll(ctx context.Context, now time.Time) {
	remotes := s.reportsTo(now)
	if len(remotes) == 0 || s.Ready() != nil {
		return
	}
	summary := s.summary(now)
	var wait sync.WaitGroup
	for _, remote := range remotes {
		if remote.told != summary.GetVersion() || now.Sub(remote.sentAt) >= confirmEvery {
			wait.Go(func() { s.summarize(ctx, now, remote, summary) })
		}
	}
	wait.Wait()
}

// reportsTo returns the failure domains to which this router reports.
func (s *Service) reportsTo(now time.Time) []*remoteLink {
	s.mu.Lock()
	defer s.mu.Unlock()
	live := []string{s.instance}
	for _, peer := range s.peers {
		if s.isLive(now, peer) {
			live = append(live, peer.instance)
		}
	}
	var out []*remoteLink
	for _, remote := range s.remotes {
		if Reporter(live, remote.domain) == s.instance {
			out = append(out, remote)
		}
	}
	return out
}

// Reporter returns which of a failure domain's live routers reports to another
// failure domain: the one with the highest rendezvous hash. Routers that agree
// on who is alive agree on it.
func Reporter(live []string, domain string) string {
	reporter, highest := "", uint64(0)
	for _, instance := range live {
		score := xxhash.Sum64String(instance + "\x00" + domain)
		if reporter == "" || score > highest || score == highest && instance < reporter {
			reporter, highest = instance, score
		}
	}
	return reporter
}

// summarize sends a summary to a router of another failure domain, whole or as
// its version if that router has it. The next router takes the next one after
// a failure.
func (s *Service) summarize(ctx context.Context, now time.Time, remote *remoteLink, summary *memberpb.DomainSummary) {
	router := remote.routers[(s.firstRouter(remote)+remote.next)%len(remote.routers)]
	ctx, cancel := context.WithTimeout(ctx, summarizeTimeout)
	defer cancel()
	request := &memberpb.SummarizeRequest{Summaries: &memberpb.Summaries{}}
	addSummary(request.Summaries, summary, remote.told)
	var response *memberpb.SummarizeResponse
	err := router.client.Do(ctx, func(ctx context.Context, conn drpc.Conn) error {
		var err error
		response, err = memberpb.NewDRPCMemberClient(conn).Summarize(ctx, request)
		return err
	})
	if err != nil {
		remote.next++
		remote.told = 0
		s.log.Debug().Err(err).Str("peer", router.instance).Msg("summary not taken")
		return
	}
	remote.sentAt, remote.told = now, summary.GetVersion()
	if len(response.GetUnknown()) > 0 {
		remote.told = 0
	}
}

// firstRouter spreads the failure domains over the routers that take their
// summaries.
func (s *Service) firstRouter(remote *remoteLink) int {
	return int(xxhash.Sum64String(s.domain) % uint64(len(remote.routers)))
}

// addSummary appends a summary, as its version if the receiver was told of that.
func addSummary(to *memberpb.Summaries, summary *memberpb.DomainSummary, told uint64) {
	if summary.GetVersion() == told {
		to.Unchanged = append(to.Unchanged, told)
		return
	}
	to.Changed = append(to.Changed, summary)
}

// Summarize implements the RPC service.
func (s *Service) Summarize(_ context.Context, request *memberpb.SummarizeRequest) (*memberpb.SummarizeResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	unknown := s.hearSummaries(time.Now(), request.GetSummaries(), fromDomain)
	return &memberpb.SummarizeResponse{Unknown: unknown}, nil
}
