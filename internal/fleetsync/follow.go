package fleetsync

import (
	"context"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"peridotwinch.example/peridotwinch/internal/actor"
	"peridotwinch.example/peridotwinch/internal/registry"
	"peridotwinch.example/peridotwinch/internal/rpc/fleetpb"
)

const (
	// quorumLossGrace is the time without a quorum after which events are marked stale, so
	// that routers search for another replica. Most elections end earlier, and the new streams
	// of routers that all left would take the bandwidth from the next election. A replica
	// detects the loss of its quorum after 0.6 s; detection, grace and a new stream together
	// take less than the 2 s within which a change must take effect.
	quorumLossGrace = 700 * time.Millisecond
	// maxStaleness is the time without a quorum after which a stream ends. It exceeds every
	// disturbance during which the router can still reach a replica with a quorum.
	maxStaleness = 8 * time.Second
	// quorumWaitTimeout is how long a replica without a quorum holds a new stream before it
	// rejects it, since the next replica may have a quorum.
	quorumWaitTimeout = 300 * time.Millisecond
	// maxOpeningStreams limits how many streams send their first event concurrently, so that
	// the replica's other work gets CPU time on the smallest known quota, a tenth of a core:
	// there the first event takes 3 ms.
	maxOpeningStreams = 4
)

// changeBatchDelay is how long changes of the registry are collected before they are sent as
// a batch: after a restart of all instances 140 servers announce themselves within 1.2 s, and
// each change is sent to 80 routers. A draining server must receive no more requests after 2 s.
const changeBatchDelay = 40 * time.Millisecond

// Follow implements the Follow RPC of the Fleet service. If the replica has had no quorum for
// quorumLossGrace, the stream marks its events stale and continues: replicas share server
// changes without a quorum, and the router leaves once it has found another replica. Follow
// returns errNoQuorum if the replica is not synchronized or has no quorum within
// quorumWaitTimeout, or loses its quorum for longer than maxStaleness.
func (s *Service) Follow(request *fleetpb.FollowRequest, stream fleetpb.DRPCFleet_FollowStream) error {
	if err := s.awaitReadBarrier(stream.Context()); err != nil {
		return err
	}
	r := &routerStream{service: s, stream: stream, generation: request.GetGeneration(), knownDigests: fromKnown(request.GetKnown())}
	s.log.Info().Str("router", request.GetInstance()).Uint64("generation", r.generation).Msg("router subscribed to fleet stream")
	defer r.cancelQueued()
	err := r.open()
	if err == nil {
		err = r.run()
	}
	s.log.Info().Err(err).Str("router", request.GetInstance()).Msg("router's fleet stream ended")
	return err
}

// awaitReadBarrier returns once a majority has confirmed that the replica is up to date. While
// the replica has no quorum yet, it holds new streams for quorumWaitTimeout rather than reject
// them at once: the retries of 80 routers would take CPU time from the election.
func (s *Service) awaitReadBarrier(ctx context.Context) error {
	for start := time.Now(); !s.isSynced() || !s.replica.HasQuorum(); {
		if time.Since(start) > quorumWaitTimeout || !actor.Sleep(ctx, quorumPollInterval/4) {
			return errNoQuorum
		}
	}
	ctx, cancel := context.WithTimeout(ctx, barrierTimeout)
	defer cancel()
	return s.barrier.do(ctx)
}

// routerStream is the fleet stream to one router.
type routerStream struct {
	service    *Service
	stream     fleetpb.DRPCFleet_FollowStream
	generation uint64
	revision   uint64
	lastSent   time.Time
	// knownDigests holds the digests of the router's records when it subscribed, by the
	// hash of the server's ID; nil once the first event was prepared.
	knownDigests map[uint64]uint32
	firstSent    bool
	// queued is the route table whose transmission is rate-limited, or nil.
	queued *queuedTable
	// lastQuorum is when the replica last had a quorum; stale reports that this was longer
	// ago than quorumLossGrace.
	lastQuorum time.Time
	stale      bool
}

// queuedTable is a route table queued for a router, as a full document or a delta.
type queuedTable struct {
	event        *fleetpb.FollowEvent
	generation   uint64
	transmission *transmission
}

// open sends the first event, with at most maxOpeningStreams streams concurrently.
func (r *routerStream) open() error {
	ctx := r.stream.Context()
	select {
	case r.service.openSemaphore <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-r.service.openSemaphore }()
	_, err := r.sendUpdates()
	return err
}

// run sends updates and heartbeats until the router disconnects or the replica has had no
// quorum for longer than maxStaleness.
func (r *routerStream) run() error {
	tables, stop := r.service.replica.Subscribe()
	defer stop()
	poll := time.NewTicker(quorumPollInterval)
	defer poll.Stop()
	r.lastQuorum = time.Now()
	for {
		changed, err := r.sendUpdates()
		if err != nil {
			return err
		}
		select {
		case <-r.stream.Context().Done():
			return r.stream.Context().Err()
		case <-tables:
		case <-changed:
			// Batches changes that arrive together.
			actor.Sleep(r.stream.Context(), changeBatchDelay)
		case <-r.tableGranted():
		case <-poll.C:
		}
		if r.updateStaleness(time.Now()) > maxStaleness {
			return errNoQuorum
		}
	}
}

// updateStaleness returns how long the replica has had no quorum. If staleness changes, the
// next event is due at once to report it.
func (r *routerStream) updateStaleness(now time.Time) time.Duration {
	if r.service.replica.HasQuorum() {
		r.lastQuorum = now
	}
	withoutQuorum := now.Sub(r.lastQuorum)
	if stale := withoutQuorum > quorumLossGrace; stale != r.stale {
		r.stale, r.lastSent = stale, time.Time{}
	}
	return withoutQuorum
}

// sendUpdates sends the changes that the router lacks, or a heartbeat if one is due. It
// returns a channel that is closed at the next change of the registry.
func (r *routerStream) sendUpdates() (<-chan struct{}, error) {
	event := &fleetpb.FollowEvent{}
	if err := r.enqueueTable(); err != nil {
		return nil, err
	}
	r.addGrantedTable(event)
	records, changed, err := r.nextRecords(event)
	if err != nil {
		return nil, err
	}
	hasUpdates := event.Document != nil || event.Delta != nil || !records.isEmpty()
	if !hasUpdates && r.firstSent && time.Since(r.lastSent) < HeartbeatInterval {
		return changed, nil
	}
	event.Servers, event.Packed, event.Stale = records.servers, records.packed, r.stale
	r.firstSent, r.lastSent = true, time.Now()
	return changed, r.stream.Send(event)
}

// enqueueTable queues the newest route table for a rate-limited transmission. It replaces a
// table that is already queued and keeps that table's position in the queue.
func (r *routerStream) enqueueTable() error {
	s := r.service
	d := s.replica.RouteTable()
	if d == nil || d.Generation <= r.generation || r.queued != nil && r.queued.generation == d.Generation {
		return nil
	}
	event := &fleetpb.FollowEvent{}
	if err := s.tables.fillEvent(d, r.generation, event); err != nil {
		return err
	}
	next := &queuedTable{event: event, generation: d.Generation}
	if r.queued != nil {
		next.transmission = r.queued.transmission
	} else {
		next.transmission = s.pacer.enqueue(proto.Size(event))
	}
	r.queued = next
	return nil
}

// addGrantedTable moves the queued table into an event once its transmission is granted.
// Servers and heartbeats do not wait for the table: routers must receive in time that a server
// leaves, and a router leaves a replica whose heartbeats stop.
func (r *routerStream) addGrantedTable(event *fleetpb.FollowEvent) {
	if r.queued == nil {
		return
	}
	select {
	case <-r.queued.transmission.granted:
		event.Document, event.Delta = r.queued.event.Document, r.queued.event.Delta
		r.generation, r.queued = r.queued.generation, nil
	default:
	}
}

// tableGranted returns a channel that is closed once the queued table may be sent, or nil if
// no table is queued.
func (r *routerStream) tableGranted() <-chan struct{} {
	if r.queued == nil {
		return nil
	}
	return r.queued.transmission.granted
}

// cancelQueued cancels the transmission of a queued table.
func (r *routerStream) cancelQueued() {
	if r.queued != nil {
		r.service.pacer.cancel(r.queued.transmission)
	}
}

// nextRecords returns the records that the router lacks, and a channel that is closed at the
// next change of the registry. On the first call it also sets the fields of event that only
// the first event carries.
func (r *routerStream) nextRecords(event *fleetpb.FollowEvent) (*recordList, <-chan struct{}, error) {
	s := r.service
	s.mu.Lock()
	defer s.mu.Unlock()
	from, isFirst := r.revision, !r.firstSent
	r.revision = s.table.Revision()
	if isFirst {
		event.First = true
		event.Controls = s.replica.Replicas()
	}
	if len(r.knownDigests) == 0 {
		records, err := s.recordsSince(from)
		return records, s.changed, err
	}
	now := time.Now()
	var servers []*fleetpb.Server
	servers, event.Unknown = missingRecords(s.table.Since(0), r.knownDigests, now)
	r.knownDigests = nil
	records, err := newRecordList(servers)
	return records, s.changed, err
}

// recordsSince returns the records that changed after a revision; the caller holds mu. Many
// streams need the same records at the same time, so they are cached until the next change.
func (s *Service) recordsSince(revision uint64) (*recordList, error) {
	if s.cachedRevision != s.table.Revision() {
		s.cachedRevision = s.table.Revision()
		clear(s.cachedRecords)
	}
	if cached := s.cachedRecords[revision]; cached != nil {
		return cached, nil
	}
	now, entries := time.Now(), s.table.Since(revision)
	var servers []*fleetpb.Server
	if revision == 0 {
		servers, _ = missingRecords(entries, nil, now)
	} else {
		servers = toServers(entries, now)
	}
	records, err := newRecordList(servers)
	if err == nil {
		s.cachedRecords[revision] = records
	}
	return records, err
}

// missingRecords returns the records that a router lacks, and the hashes of the servers that
// only the router has. The record of a server that is gone goes only to routers that have the
// server. missingRecords removes entries from known.
func missingRecords(entries []registry.Entry, known map[uint64]uint32, now time.Time) (servers []*fleetpb.Server, unknown []uint64) {
	for _, e := range entries {
		id := registry.HashID(e.ID)
		digest, isKnown := known[id]
		delete(known, id)
		if isKnown && digest == e.Digest() || !isKnown && e.State == registry.StateGone {
			continue
		}
		servers = append(servers, toServer(e, now))
	}
	return servers, slices.Collect(maps.Keys(known))
}
