// Package configwatch keeps a router's catalog up to date from the control
// replicas, and from its peers where it is cut off from control.
package configwatch

import (
	"context"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"storj.io/drpc"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/catalog"
	"peridotwinch.example/peridotwinch/internal/rpc"
	"peridotwinch.example/peridotwinch/internal/rpc/configpb"
	"peridotwinch.example/peridotwinch/internal/settings"
)

const (
	// reconnectDelay is the pause before the next replica is tried.
	reconnectDelay = 200 * time.Millisecond
	// missedHeartbeats is how many heartbeats may be missing before a watch
	// counts as dead.
	missedHeartbeats = 3
	// heartbeatsPerReport is the number of heartbeats between two reports
	// without news; a lease outlasts two of them.
	heartbeatsPerReport = 2
	// peekTimeout bounds the question to all sources for their revisions, at the
	// start and while the router is cut off.
	peekTimeout = time.Second
	// askTimeout bounds the transfer of the highest revision.
	askTimeout = 2 * time.Second
	// askPeersEvery is the time between two questions to the peers while the
	// router is cut off.
	askPeersEvery = time.Second
)

// Watcher follows the configuration. It is safe for concurrent use.
type Watcher struct {
	log       zerolog.Logger
	instance  string
	domain    string
	heartbeat time.Duration
	// controls are the control replicas, the nearest first.
	controls []*rpc.Client
	// peers are the other routers of the failure domain.
	peers []*rpc.Client

	current atomic.Pointer[catalog.Catalog]
	// followed is the control replica whose watch works, or nil.
	followed atomic.Pointer[rpc.Client]
	asked    atomic.Bool
	// lastHeard is when control was heard last, in Unix milliseconds.
	lastHeard atomic.Int64
	// applied is signalled after each new revision.
	applied chan struct{}

	// mu orders the changes of the catalog.
	mu    sync.Mutex
	cache *cache
}

// New returns a watcher that starts from the cached catalog, if there is one.
func New(s *settings.Settings, log zerolog.Logger) *Watcher {
	w := &Watcher{
		log: log, instance: s.Instance, domain: s.FailureDomain, heartbeat: s.Timeouts.Heartbeat(),
		controls: clients(nearestFirst(s)), peers: clients(domainPeers(s)),
		applied: make(chan struct{}, 1),
	}
	w.current.Store(catalog.Empty())
	w.lastHeard.Store(time.Now().UnixMilli())
	if s.DataDir != "" {
		w.openCache(filepath.Join(s.DataDir, "router", "catalog"))
	}
	w.addMetrics()
	return w
}

func clients(peers []settings.Peer) []*rpc.Client {
	var out []*rpc.Client
	for _, peer := range peers {
		out = append(out, rpc.NewClient(peer.Address, rpc.PurposeConfig))
	}
	return out
}

func (w *Watcher) openCache(path string) {
	c, cached, err := openCache(path)
	if err != nil {
		w.log.Error().Err(err).Msg("the cached configuration is not used")
		return
	}
	w.cache = c
	w.current.Store(cached)
	w.log.Info().Uint64("revision", cached.Revision()).Msg("cached configuration loaded")
}

// Catalog returns the newest catalog.
func (w *Watcher) Catalog() *catalog.Catalog { return w.current.Load() }

// Ready reports an error until the router has a configuration and has asked
// all sources that it reaches for the newest one.
func (w *Watcher) Ready() error {
	if w.Catalog().Revision() == 0 || !w.asked.Load() {
		return api.Errorf(api.CodeNotConfigured, "no configuration yet")
	}
	return nil
}

// IsCutOff reports whether the router hears no control replica.
func (w *Watcher) IsCutOff() bool { return w.followed.Load() == nil }

// Run follows the configuration until ctx ends: the nearest control replica
// first, then the others. While none works it asks its peers, and the control
// replicas for what they have although they may be cut off themselves.
func (w *Watcher) Run(ctx context.Context) error {
	w.askAll(ctx, slices.Concat(w.peers, w.controls))
	w.closeIdle()
	w.asked.Store(true)
	go w.reportAll(ctx)
	go w.askPeers(ctx)
	for next := 0; ctx.Err() == nil; {
		if w.watchOnce(ctx, w.controls[next]) {
			next = 0
		} else {
			next++
		}
		if next == len(w.controls) {
			next = 0
			w.askAll(ctx, w.controls)
			w.closeIdle()
		}
		select {
		case <-ctx.Done():
		case <-time.After(reconnectDelay):
		}
	}
	return nil
}

// closeIdle closes the connections over which sources were asked. Kept open, those
// of all routers would take more memory at a control replica than their watches.
func (w *Watcher) closeIdle() {
	for _, source := range slices.Concat(w.peers, w.controls) {
		source.Close()
	}
}

// watchOnce follows one control replica and reports whether that worked for a while.
func (w *Watcher) watchOnce(ctx context.Context, replica *rpc.Client) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	err := replica.Do(ctx, func(ctx context.Context, conn drpc.Conn) error {
		return w.follow(ctx, cancel, conn, replica)
	})
	worked := w.followed.Swap(nil) != nil
	if err != nil && worked {
		w.log.Warn().Err(err).Str("replica", replica.Address()).Msg("configuration watch ended")
	}
	return worked
}

func (w *Watcher) follow(ctx context.Context, cancel context.CancelFunc, conn drpc.Conn, replica *rpc.Client) error {
	silence := missedHeartbeats * w.heartbeat
	watchdog := time.AfterFunc(silence, cancel)
	defer watchdog.Stop()
	stream, err := configpb.NewDRPCConfigClient(conn).Watch(ctx, w.request(false))
	if err != nil {
		return errors.Wrap(err, "open a watch")
	}
	return w.receive(stream, func() {
		watchdog.Reset(silence)
		w.lastHeard.Store(time.Now().UnixMilli())
		if w.followed.Swap(replica) == nil {
			w.notifyApplied()
		}
	})
}

func (w *Watcher) request(once bool) *configpb.WatchRequest {
	return &configpb.WatchRequest{
		Instance: w.instance, FailureDomain: w.domain, Revision: w.Catalog().Revision(), Once: once,
	}
}

// receive applies the events of a stream until it ends.
func (w *Watcher) receive(stream configpb.DRPCConfig_WatchClient, heard func()) error {
	var parts []*api.Resource
	for {
		event, err := stream.Recv()
		if err != nil {
			return errors.Wrap(err, "receive a watch event")
		}
		heard()
		resources, err := event.DecodeResources()
		if err != nil {
			return err
		}
		parts = append(parts, resources...)
		if event.GetMore() {
			continue
		}
		w.apply(event.GetRevision(), event.GetSnapshot(), parts)
		parts = nil
	}
}

// apply takes a higher revision into use once it is on disk, so that a restart
// does not go back behind it.
func (w *Watcher) apply(revision uint64, snapshot bool, changes []*api.Resource) {
	w.mu.Lock()
	defer w.mu.Unlock()
	current := w.Catalog()
	next := current.Apply(revision, snapshot, changes)
	if next == current {
		return
	}
	if w.cache != nil {
		if err := w.cache.save(next, snapshot, changes); err != nil {
			w.log.Error().Err(err).Msg("the configuration is not cached")
		}
	}
	w.current.Store(next)
	w.log.Info().Uint64("revision", next.Revision()).Msg("configuration applied")
	w.notifyApplied()
}

func (w *Watcher) notifyApplied() {
	select {
	case w.applied <- struct{}{}:
	default:
	}
}

// askPeers asks the other routers of the failure domain while control is silent.
func (w *Watcher) askPeers(ctx context.Context) {
	ticker := time.NewTicker(askPeersEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if w.IsCutOff() {
			w.askAll(ctx, w.peers)
		}
	}
}

// reportAll reports the applied revision to the followed replica: every few
// heartbeats, and at once after a new revision.
func (w *Watcher) reportAll(ctx context.Context) {
	ticker := time.NewTicker(heartbeatsPerReport * w.heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-w.applied:
		}
		if replica := w.followed.Load(); replica != nil {
			w.report(ctx, replica)
		}
	}
}

func (w *Watcher) report(ctx context.Context, replica *rpc.Client) {
	ctx, cancel := context.WithTimeout(ctx, 2*w.heartbeat)
	defer cancel()
	request := &configpb.ReportRequest{Instance: w.instance, FailureDomain: w.domain, Revision: w.Catalog().Revision()}
	_ = replica.Do(ctx, func(ctx context.Context, conn drpc.Conn) error {
		_, err := configpb.NewDRPCConfigClient(conn).Report(ctx, request)
		return err
	})
}
