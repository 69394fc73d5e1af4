// Package configwatch keeps a router's catalog up to date. It watches a control
// replica, and polls the other routers of its failure domain while it has no watch
// on any control replica.
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
	// reconnectDelay is the delay before a watch on the next replica.
	reconnectDelay = 200 * time.Millisecond
	// maxMissedHeartbeats is the number of heartbeat intervals without an event
	// after which a watch is closed.
	maxMissedHeartbeats = 3
	// heartbeatsPerReport is the number of heartbeat intervals between two reports
	// while the revision stays the same. A router's lease lasts longer than two of
	// these periods.
	heartbeatsPerReport = 2
	// peekTimeout limits the requests to all sources for their revisions, at
	// startup and while no control replica can be watched.
	peekTimeout = time.Second
	// fetchTimeout limits the transfer of the highest revision.
	fetchTimeout = 2 * time.Second
	// peerPollInterval is the interval between two polls of the peers while no
	// control replica can be watched.
	peerPollInterval = time.Second
)

// Watcher watches the configuration and keeps the newest catalog. The revision of
// the catalog never decreases. It is safe for concurrent use.
type Watcher struct {
	log       zerolog.Logger
	instance  string
	domain    string
	heartbeat time.Duration
	// controls holds the control replicas, the nearest first.
	controls []*rpc.Client
	// peers holds the other routers of the failure domain.
	peers []*rpc.Client

	current atomic.Pointer[catalog.Catalog]
	// watched is the control replica with an established watch, or nil.
	watched atomic.Pointer[rpc.Client]
	// synced is set once all sources were queried at startup.
	synced atomic.Bool
	// lastEventMS is the time of the last event of a control replica, in Unix
	// milliseconds.
	lastEventMS atomic.Int64
	// reportDue triggers a report. It is signaled after each new revision and
	// when a watch is established.
	reportDue chan struct{}

	// mu serializes changes of the catalog and the cache.
	mu    sync.Mutex
	cache *cache
}

// New returns a watcher that starts with the cached catalog, if there is one.
func New(s *settings.Settings, log zerolog.Logger) *Watcher {
	w := &Watcher{
		log: log, instance: s.Instance, domain: s.FailureDomain, heartbeat: s.Timeouts.Heartbeat(),
		controls: newClients(nearestFirst(s)), peers: newClients(domainRouters(s)),
		reportDue: make(chan struct{}, 1),
	}
	w.current.Store(catalog.Empty())
	w.lastEventMS.Store(time.Now().UnixMilli())
	if s.DataDir != "" {
		w.openCache(filepath.Join(s.DataDir, "router", "catalog"))
	}
	w.addMetrics()
	return w
}

func newClients(peers []settings.Peer) []*rpc.Client {
	var clients []*rpc.Client
	for _, peer := range peers {
		clients = append(clients, rpc.NewClient(peer.Address, rpc.PurposeConfig))
	}
	return clients
}

func (w *Watcher) openCache(path string) {
	c, cached, err := openCache(path)
	if err != nil {
		w.log.Error().Err(err).Msg("failed to open the configuration cache; starting without it")
		return
	}
	w.cache = c
	w.current.Store(cached)
	w.log.Info().Uint64("revision", cached.Revision()).Msg("cached configuration loaded")
}

// Catalog returns the newest catalog.
func (w *Watcher) Catalog() *catalog.Catalog { return w.current.Load() }

// Ready returns CodeNotConfigured until the router has a configuration and has
// queried all reachable sources for the newest one.
func (w *Watcher) Ready() error {
	if w.Catalog().Revision() == 0 || !w.synced.Load() {
		return api.Errorf(api.CodeNotConfigured, "the router has no configuration yet")
	}
	return nil
}

// IsDisconnected reports whether the router has no established watch on a control
// replica.
func (w *Watcher) IsDisconnected() bool { return w.watched.Load() == nil }

// Run keeps the catalog up to date until ctx ends and then returns nil. It watches
// the nearest control replica, or the next one if that fails. While no watch can be
// established, it polls the peers, and fetches the state of the control replicas,
// which may be outdated since they may have no quorum.
func (w *Watcher) Run(ctx context.Context) error {
	w.fetchHighest(ctx, slices.Concat(w.peers, w.controls))
	w.closeIdle()
	w.synced.Store(true)
	go w.reportRevisions(ctx)
	go w.pollPeers(ctx)
	for next := 0; ctx.Err() == nil; {
		if w.watchReplica(ctx, w.controls[next]) {
			next = 0
		} else {
			next++
		}
		if next == len(w.controls) {
			next = 0
			w.fetchHighest(ctx, w.controls)
			w.closeIdle()
		}
		select {
		case <-ctx.Done():
		case <-time.After(reconnectDelay):
		}
	}
	return nil
}

// closeIdle closes the connections that were used to query the sources. If all
// routers kept them open, they would take more memory at a control replica than
// the routers' watches.
func (w *Watcher) closeIdle() {
	for _, source := range slices.Concat(w.peers, w.controls) {
		source.Close()
	}
}

// watchReplica watches a control replica until the watch ends, and reports whether
// the watch was established.
func (w *Watcher) watchReplica(ctx context.Context, replica *rpc.Client) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	err := replica.Do(ctx, func(ctx context.Context, conn drpc.Conn) error {
		return w.watch(ctx, cancel, conn, replica)
	})
	established := w.watched.Swap(nil) != nil
	if err != nil && established {
		w.log.Warn().Err(err).Str("replica", replica.Address()).Msg("configuration watch ended")
	}
	return established
}

// watch applies the events of a control replica until the stream fails. It cancels
// the watch after maxMissedHeartbeats intervals without an event.
func (w *Watcher) watch(ctx context.Context, cancel context.CancelFunc, conn drpc.Conn, replica *rpc.Client) error {
	timeout := maxMissedHeartbeats * w.heartbeat
	watchdog := time.AfterFunc(timeout, cancel)
	defer watchdog.Stop()
	stream, err := configpb.NewDRPCConfigClient(conn).Watch(ctx, w.request(false))
	if err != nil {
		return errors.Wrap(err, "open a watch")
	}
	return w.receive(stream, func() {
		watchdog.Reset(timeout)
		w.lastEventMS.Store(time.Now().UnixMilli())
		if w.watched.Swap(replica) == nil {
			w.triggerReport()
		}
	})
}

func (w *Watcher) request(once bool) *configpb.WatchRequest {
	return &configpb.WatchRequest{
		Instance: w.instance, FailureDomain: w.domain, Revision: w.Catalog().Revision(), Once: once,
	}
}

// receive applies the events of a stream until it ends, and calls onEvent for each.
// It collects the parts of a revision and applies them together.
func (w *Watcher) receive(stream configpb.DRPCConfig_WatchClient, onEvent func()) error {
	var pending []*api.Resource
	for {
		event, err := stream.Recv()
		if err != nil {
			return errors.Wrap(err, "receive a watch event")
		}
		onEvent()
		resources, err := event.DecodeResources()
		if err != nil {
			return err
		}
		pending = append(pending, resources...)
		if event.GetMore() {
			continue
		}
		w.apply(event.GetRevision(), event.GetSnapshot(), pending)
		pending = nil
	}
}

// apply makes a higher revision current and ignores any other. It writes the
// revision to the cache first, so that the configuration does not revert after a
// restart. A failed write is logged and does not prevent the change.
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
			w.log.Error().Err(err).Msg("failed to write the configuration to the cache")
		}
	}
	w.current.Store(next)
	w.log.Info().Uint64("revision", next.Revision()).Msg("configuration applied")
	w.triggerReport()
}

// triggerReport makes reportRevisions send a report without waiting for the
// interval.
func (w *Watcher) triggerReport() {
	select {
	case w.reportDue <- struct{}{}:
	default:
	}
}

// pollPeers fetches the configuration from the other routers of the failure domain
// while no control replica can be watched.
func (w *Watcher) pollPeers(ctx context.Context) {
	ticker := time.NewTicker(peerPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if w.IsDisconnected() {
			w.fetchHighest(ctx, w.peers)
		}
	}
}

// reportRevisions reports the applied revision to the watched replica: every
// heartbeatsPerReport heartbeat intervals, at once after a new revision, and when a
// watch is established.
func (w *Watcher) reportRevisions(ctx context.Context) {
	ticker := time.NewTicker(heartbeatsPerReport * w.heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-w.reportDue:
		}
		if replica := w.watched.Load(); replica != nil {
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
