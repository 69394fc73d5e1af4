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

// Timing of the summaries between failure domains.
const (
	// summaryInterval is the time between two checks whether a summary is due.
	summaryInterval = time.Second
	// summaryConfirmInterval is the time after which an unchanged summary is confirmed.
	summaryConfirmInterval = 2 * time.Second
	// summaryTimeout bounds one Summarize call.
	summaryTimeout = time.Second
	// MaxSummaryAge is the age above which a summary is ignored.
	MaxSummaryAge = 6 * time.Second
)

// remoteLink holds the routers of another failure domain and what they have received.
type remoteLink struct {
	domain  string
	routers []remoteRouter
	// routerOffset selects the router that receives the summaries; each failure advances
	// it.
	routerOffset int
	// ackedVersion is the version of the summary that this router has accepted, or zero.
	ackedVersion uint64
	sentAt       time.Time
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
	ticker := time.NewTicker(summaryInterval)
	defer ticker.Stop()
	for {
		s.sendSummaries(ctx, time.Now())
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

// sendSummaries sends the summary to each failure domain for which it is due. A router
// that has not attempted an exchange with each peer sends none, because its table is
// incomplete.
func (s *Service) sendSummaries(ctx context.Context, now time.Time) {
	remotes := s.reportTargets(now)
	if len(remotes) == 0 || s.Ready() != nil {
		return
	}
	summary := s.summary(now)
	var group sync.WaitGroup
	for _, remote := range remotes {
		if remote.ackedVersion != summary.GetVersion() || now.Sub(remote.sentAt) >= summaryConfirmInterval {
			group.Go(func() { s.sendSummary(ctx, now, remote, summary) })
		}
	}
	group.Wait()
}

// reportTargets returns the failure domains to which this router reports.
func (s *Service) reportTargets(now time.Time) []*remoteLink {
	s.mu.Lock()
	defer s.mu.Unlock()
	live := []string{s.instance}
	for _, peer := range s.peers {
		if s.isLive(now, peer) {
			live = append(live, peer.instance)
		}
	}
	var targets []*remoteLink
	for _, remote := range s.remotes {
		if Reporter(live, remote.domain) == s.instance {
			targets = append(targets, remote)
		}
	}
	return targets
}

// Reporter returns which of a failure domain's live routers reports to another
// failure domain: the one with the highest rendezvous hash. Routers that agree on the
// live routers agree on the reporter.
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

// sendSummary sends a summary to a router of another failure domain: in full, or only
// its version if that router has accepted it. After a failure, the next summary goes to
// the next router.
func (s *Service) sendSummary(ctx context.Context, now time.Time, remote *remoteLink, summary *memberpb.DomainSummary) {
	router := remote.routers[(s.firstRouterIndex(remote)+remote.routerOffset)%len(remote.routers)]
	ctx, cancel := context.WithTimeout(ctx, summaryTimeout)
	defer cancel()
	request := &memberpb.SummarizeRequest{Summaries: &memberpb.Summaries{}}
	appendSummary(request.Summaries, summary, remote.ackedVersion)
	var response *memberpb.SummarizeResponse
	err := router.client.Do(ctx, func(ctx context.Context, conn drpc.Conn) error {
		var err error
		response, err = memberpb.NewDRPCMemberClient(conn).Summarize(ctx, request)
		return err
	})
	if err != nil {
		remote.routerOffset++
		remote.ackedVersion = 0
		s.log.Debug().Err(err).Str("peer", router.instance).Msg("sending summary to another failure domain failed")
		return
	}
	remote.sentAt, remote.ackedVersion = now, summary.GetVersion()
	if len(response.GetUnknown()) > 0 {
		remote.ackedVersion = 0
	}
}

// firstRouterIndex distributes the failure domains over the routers that receive their
// summaries.
func (s *Service) firstRouterIndex(remote *remoteLink) int {
	return int(xxhash.Sum64String(s.domain) % uint64(len(remote.routers)))
}

// appendSummary appends a summary, or only its version if the receiver has accepted
// that version.
func appendSummary(to *memberpb.Summaries, summary *memberpb.DomainSummary, ackedVersion uint64) {
	if summary.GetVersion() == ackedVersion {
		to.Unchanged = append(to.Unchanged, ackedVersion)
		return
	}
	to.Changed = append(to.Changed, summary)
}

// Summarize implements the Summarize RPC.
func (s *Service) Summarize(_ context.Context, request *memberpb.SummarizeRequest) (*memberpb.SummarizeResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	unknown := s.recordSummaries(time.Now(), request.GetSummaries(), fromDomain)
	return &memberpb.SummarizeResponse{Unknown: unknown}, nil
}
