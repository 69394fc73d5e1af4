package control

import (
	"context"
	"sync"
	"time"

	"storj.io/drpc"

	"peridotwinch.example/peridotwinch/internal/rpc"
	"peridotwinch.example/peridotwinch/internal/rpc/configpb"
	"peridotwinch.example/peridotwinch/internal/settings"
)

const (
	// shareDelay is the minimum time between two requests to a peer that changed revisions
	// trigger; it batches the reports of routers that apply a new revision.
	shareDelay = 50 * time.Millisecond
	// shareIntervalHeartbeats is the interval at which the set of live routers is
	// confirmed to the peers, in heartbeat intervals.
	shareIntervalHeartbeats = 2
	// recentReportIntervals is the maximum age of a report that the request need not
	// list, in share intervals.
	recentReportIntervals = 1.1
)

// reportSharer forwards the reports that routers send to this replica to the other replicas,
// so that each replica can determine which changes are in force.
type reportSharer struct {
	instance string
	leases   *leases
	interval time.Duration
	timeout  time.Duration
	peers    []*sharePeer
}

// sharePeer is another replica with the set of routers that it has acknowledged.
type sharePeer struct {
	client *rpc.Client
	wakeUp chan struct{}
	// ackedSet is nil if the next request has to contain the whole set.
	ackedSet routerSet
}

func newReportSharer(s *settings.Settings, l *leases) *reportSharer {
	out := &reportSharer{
		instance: s.Instance, leases: l,
		interval: shareIntervalHeartbeats * s.Timeouts.Heartbeat(), timeout: s.Timeouts.Heartbeat(),
	}
	for _, peer := range s.PeersWithRole(settings.RoleControl) {
		if peer.Instance != s.Instance {
			client := rpc.NewClient(peer.Address, rpc.PurposeConfig)
			out.peers = append(out.peers, &sharePeer{client: client, wakeUp: make(chan struct{}, 1)})
		}
	}
	return out
}

// wake triggers a request to each peer because a router has reported another revision.
func (s *reportSharer) wake() {
	for _, peer := range s.peers {
		select {
		case peer.wakeUp <- struct{}{}:
		default:
		}
	}
}

func (s *reportSharer) run(ctx context.Context) error {
	var wait sync.WaitGroup
	for _, peer := range s.peers {
		wait.Go(func() { s.runPeer(ctx, peer) })
	}
	wait.Wait()
	<-ctx.Done()
	return nil
}

func (s *reportSharer) runPeer(ctx context.Context, peer *sharePeer) {
	ticker := time.NewTicker(s.interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			peer.client.Close()
			return
		case <-ticker.C:
			s.share(ctx, peer, true)
		case <-peer.wakeUp:
			s.share(ctx, peer, false)
			time.Sleep(shareDelay)
		}
	}
}

// share sends a peer the changes in the set of live routers. If the set has not changed, it
// sends a request only if confirm is set.
func (s *reportSharer) share(ctx context.Context, peer *sharePeer, confirm bool) {
	reports := s.leases.directReports(time.Now())
	recentAge := time.Duration(recentReportIntervals * float64(s.interval))
	request, current := newShareRequest(time.Now(), reports, peer.ackedSet, recentAge)
	if !confirm && current.digest() == peer.ackedSet.digest() {
		return
	}
	request.From = s.instance
	response, err := s.send(ctx, peer, request)
	peer.ackedSet = current
	if err != nil || !response.GetKnown() {
		peer.ackedSet = nil
	}
}

func (s *reportSharer) send(ctx context.Context, peer *sharePeer, request *configpb.ShareRequest) (*configpb.ShareResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	var response *configpb.ShareResponse
	err := peer.client.Do(ctx, func(ctx context.Context, conn drpc.Conn) error {
		var err error
		response, err = configpb.NewDRPCConfigClient(conn).Share(ctx, request)
		return err
	})
	return response, err
}
