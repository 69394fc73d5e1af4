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
	// shareDelay gathers reports of a new revision before they are shared.
	shareDelay = 50 * time.Millisecond
	// heartbeatsPerShare is the number of heartbeats after which the set of live
	// routers is confirmed.
	heartbeatsPerShare = 2
	// promptAge is the age up to which a report counts as one of the last round,
	// in rounds.
	promptAge = 1.1
)

// sharing passes the reports that this replica hears on to the others, so that
// each of them can tell what is in force.
type sharing struct {
	instance string
	leases   *leases
	every    time.Duration
	timeout  time.Duration
	peers    []*sharePeer
}

// sharePeer is another replica with the set of routers that it was told of.
type sharePeer struct {
	client *rpc.Client
	woken  chan struct{}
	// told is nil while the replica has to be told the whole set.
	told routerSet
}

func newSharing(s *settings.Settings, l *leases) *sharing {
	out := &sharing{
		instance: s.Instance, leases: l,
		every: heartbeatsPerShare * s.Timeouts.Heartbeat(), timeout: s.Timeouts.Heartbeat(),
	}
	for _, peer := range s.PeersWithRole(settings.RoleControl) {
		if peer.Instance != s.Instance {
			client := rpc.NewClient(peer.Address, rpc.PurposeConfig)
			out.peers = append(out.peers, &sharePeer{client: client, woken: make(chan struct{}, 1)})
		}
	}
	return out
}

// wake shares soon what a router has reported.
func (s *sharing) wake() {
	for _, peer := range s.peers {
		select {
		case peer.woken <- struct{}{}:
		default:
		}
	}
}

func (s *sharing) run(ctx context.Context) error {
	var wait sync.WaitGroup
	for _, peer := range s.peers {
		wait.Go(func() { s.runPeer(ctx, peer) })
	}
	wait.Wait()
	<-ctx.Done()
	return nil
}

func (s *sharing) runPeer(ctx context.Context, peer *sharePeer) {
	ticker := time.NewTicker(s.every)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			peer.client.Close()
			return
		case <-ticker.C:
			s.share(ctx, peer, true)
		case <-peer.woken:
			s.share(ctx, peer, false)
			time.Sleep(shareDelay)
		}
	}
}

// share tells a replica what changed in the set. Without a change it does so
// only to confirm the set.
func (s *sharing) share(ctx context.Context, peer *sharePeer, confirm bool) {
	heard := s.leases.heard(time.Now())
	prompt := time.Duration(promptAge * float64(s.every))
	request, set := shareRequest(time.Now(), heard, peer.told, prompt)
	if !confirm && set.digest() == peer.told.digest() {
		return
	}
	request.From = s.instance
	response, err := s.send(ctx, peer, request)
	peer.told = set
	if err != nil || !response.GetKnown() {
		peer.told = nil
	}
}

func (s *sharing) send(ctx context.Context, peer *sharePeer, request *configpb.ShareRequest) (*configpb.ShareResponse, error) {
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
