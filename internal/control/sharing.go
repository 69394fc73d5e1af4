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
	// heartbeatsPerShare is the number of heartbeats after which all live
	// reports are shared again.
	heartbeatsPerShare = 2
)

// sharing passes the reports that this replica hears on to the others, so that
// each of them can tell what is in force.
type sharing struct {
	leases    *leases
	heartbeat time.Duration
	peers     []*rpc.Client
	woken     chan struct{}

	mu     sync.Mutex
	shared map[string]uint64
}

func newSharing(s *settings.Settings, l *leases) *sharing {
	out := &sharing{
		leases: l, heartbeat: s.Timeouts.Heartbeat(),
		woken: make(chan struct{}, 1), shared: make(map[string]uint64),
	}
	for _, peer := range s.PeersWithRole(settings.RoleControl) {
		if peer.Instance != s.Instance {
			out.peers = append(out.peers, rpc.NewClient(peer.Address, rpc.PurposeConfig))
		}
	}
	return out
}

// wake shares soon if a router has reported a new revision.
func (s *sharing) wake() {
	select {
	case s.woken <- struct{}{}:
	default:
	}
}

func (s *sharing) run(ctx context.Context) error {
	ticker := time.NewTicker(heartbeatsPerShare * s.heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			s.share(ctx, false)
		case <-s.woken:
			s.share(ctx, true)
			time.Sleep(shareDelay)
		}
	}
}

// share sends all live reports, or only those of a new revision.
func (s *sharing) share(ctx context.Context, onlyNew bool) {
	now := time.Now()
	request := &configpb.ShareRequest{}
	s.mu.Lock()
	for instance, r := range s.leases.heard(now) {
		if onlyNew && s.shared[instance] == r.revision {
			continue
		}
		s.shared[instance] = r.revision
		request.Reports = append(request.Reports, &configpb.RouterReport{
			Instance: instance, Revision: r.revision, AgeMs: uint32(now.Sub(r.at).Milliseconds()),
		})
	}
	s.mu.Unlock()
	if len(request.GetReports()) == 0 {
		return
	}
	for _, peer := range s.peers {
		go s.send(ctx, peer, request)
	}
}

func (s *sharing) send(ctx context.Context, peer *rpc.Client, request *configpb.ShareRequest) {
	ctx, cancel := context.WithTimeout(ctx, s.heartbeat)
	defer cancel()
	_ = peer.Do(ctx, func(ctx context.Context, conn drpc.Conn) error {
		_, err := configpb.NewDRPCConfigClient(conn).Share(ctx, request)
		return err
	})
}
