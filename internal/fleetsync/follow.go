package fleetsync

import (
	"context"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"google.golang.org/protobuf/proto"

	"peridotwinch.example/peridotwinch/internal/actor"
	"peridotwinch.example/peridotwinch/internal/relay"
	"peridotwinch.example/peridotwinch/internal/rpc/fleetpb"
	"peridotwinch.example/peridotwinch/internal/slotshare"
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

// Follow implements the Follow RPC of the Fleet service. It redirects the router to relays if
// this process serves as many routers as it may. If the source has had no quorum for
// quorumLossGrace, the stream marks its events stale and continues: replicas share server
// changes without a quorum, and the router leaves once it has found another source. Follow
// returns errNoQuorum if the source is not synchronized or has no quorum within
// quorumWaitTimeout, or loses its quorum for longer than maxStaleness.
func (p *publisher) Follow(request *fleetpb.FollowRequest, stream fleetpb.DRPCFleet_FollowStream) error {
	path := p.path()
	if !path.CanAdmit(request.GetAddress()) {
		countSubscription("refused")
		return stream.Send(&fleetpb.FollowEvent{Refusal: fleetpb.Refusal_REFUSAL_PATH})
	}
	verdict := p.decide(request)
	if !verdict.Admitted {
		if len(verdict.Redirect) == 0 || !path.CanRedirect() {
			countSubscription("refused")
			return stream.Send(&fleetpb.FollowEvent{Refusal: fleetpb.Refusal_REFUSAL_FULL})
		}
		countSubscription("redirected")
		p.log.Debug().Str("router", request.GetInstance()).Strs("relays", verdict.Redirect).Msg("router redirected to relays")
		return stream.Send(&fleetpb.FollowEvent{Redirect: verdict.Redirect})
	}
	countSubscription("admitted")
	defer p.release(verdict.ID)
	if err := stream.Send(&fleetpb.FollowEvent{Accepted: true}); err != nil {
		return err
	}
	if err := p.awaitUsable(stream.Context(), request); err != nil {
		return err
	}
	r := &routerStream{publisher: p, stream: stream, instance: request.GetInstance(), generation: request.GetGeneration(), knownDigests: fromKnown(request.GetKnown()), bucketDigests: request.GetBucketDigests()}
	p.log.Info().Str("router", request.GetInstance()).Uint64("generation", r.generation).Msg("router subscribed to fleet stream")
	defer r.cancelQueued()
	err := r.open()
	if err == nil {
		err = r.run()
	}
	p.log.Info().Err(err).Str("router", request.GetInstance()).Msg("router's fleet stream ended")
	return err
}

// countSubscription counts a request for a stream by its result.
func countSubscription(result string) {
	metrics.GetOrCreateCounter(`peridotwinch_fleet_subscriptions_total{result="` + result + `"}`).Inc()
}

func (p *publisher) decide(request *fleetpb.FollowRequest) relay.Verdict {
	p.mu.Lock()
	defer p.mu.Unlock()
	isFirst := p.admission.Len() == 0
	verdict := p.admission.Decide(relay.Subscriber{
		Instance: request.GetInstance(), FailureDomain: request.GetFailureDomain(), Address: request.GetAddress(),
	}, request.GetFailed())
	if verdict.Admitted && isFirst && p.onFirstSubscriber != nil {
		p.onFirstSubscriber()
	}
	return verdict
}

func (p *publisher) release(id uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.admission.Remove(id)
}

// awaitUsable returns once the source may serve a router. A router without a table could go
// back behind what an earlier incarnation served, so it needs a read barrier; one with a
// table installs only later ones.
func (p *publisher) awaitUsable(ctx context.Context, request *fleetpb.FollowRequest) error {
	if request.GetGeneration() > 0 {
		return p.awaitQuorum(ctx)
	}
	return p.awaitReadBarrier(ctx)
}

// awaitReadBarrier returns once a majority has confirmed that the source is up to date.
func (p *publisher) awaitReadBarrier(ctx context.Context) error {
	if err := p.awaitQuorum(ctx); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, barrierTimeout)
	defer cancel()
	return p.barrier.do(ctx)
}

// awaitQuorum returns once the source has a quorum. While it has none yet, awaitQuorum holds
// new streams for a time rather than reject them at once: the retries of 80 routers would
// take CPU time from the election.
func (p *publisher) awaitQuorum(ctx context.Context) error {
	for start := time.Now(); !p.isSynced() || !p.source.HasQuorum(); {
		if time.Since(start) > p.quorumWaitTimeout || !actor.Sleep(ctx, quorumPollInterval/4) {
			return errNoQuorum
		}
	}
	return nil
}

// routerStream is the fleet stream to one router.
type routerStream struct {
	publisher  *publisher
	stream     fleetpb.DRPCFleet_FollowStream
	generation uint64
	revision   uint64
	// lossRevision is the revision of the losses that the router has.
	lossRevision uint64
	// instance is the router's.
	instance string
	// statements is what the router has received of the statements on rate limits, and
	// statementsSent when others than news were last sent.
	statements     statementCursor
	statementsSent time.Time
	lastSent       time.Time
	// knownDigests holds the digests of the router's records when it subscribed, by the
	// hash of the server's ID; nil once the first event was prepared.
	knownDigests map[uint64]uint32
	// bucketDigests are those of the subscription; nil once the first event was prepared.
	bucketDigests []uint32
	firstSent     bool
	// coordinator is the coordinator of slots that was sent last.
	coordinator slotshare.Name
	// path is the path from the control replica to this process that was sent last, controls are
	// the control replicas that were sent last.
	path     relay.Path
	controls []string
	// evacuations is what was sent last of the evacuated failure domains.
	evacuations *fleetpb.Evacuations
	// queued is the route table whose transmission is rate-limited, or nil.
	queued *queuedTable
	// lastQuorum is when the replica last had a quorum; stale reports that this was longer
	// ago than quorumLossGrace.
	lastQuorum time.Time
	stale      bool
}

// queuedTable is a route table queued for a router, as a full document or a delta.
type queuedTable struct {
	event *fleetpb.FollowEvent
	// generation is that of the router after the event, newest that of the newest table
	// when the event was queued. They differ if the router needs several deltas.
	generation, newest uint64
	transmission       *transmission
}

// open sends the first event, with at most maxOpeningStreams streams concurrently.
func (r *routerStream) open() error {
	ctx := r.stream.Context()
	select {
	case r.publisher.openSemaphore <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-r.publisher.openSemaphore }()
	_, err := r.sendUpdates()
	return err
}

// run sends updates and heartbeats until the router disconnects or the replica has had no
// quorum for longer than maxStaleness.
func (r *routerStream) run() error {
	tables, stop := r.publisher.source.Subscribe()
	defer stop()
	poll := time.NewTicker(quorumPollInterval)
	defer poll.Stop()
	r.lastQuorum = time.Now()
	for {
		changed, err := r.sendUpdates()
		if err != nil {
			return err
		}
		if r.isBehind() {
			continue
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
		if !r.publisher.path().CanKeep("") {
			return errTooDeep
		}
	}
}

// updateStaleness returns how long the replica has had no quorum. If staleness changes, the
// next event is due at once to report it.
func (r *routerStream) updateStaleness(now time.Time) time.Duration {
	if r.publisher.source.HasQuorum() {
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
	r.addPath(event)
	r.addControls(event)
	r.addEvacuations(event)
	r.addCoordinator(event)
	records, changed, err := r.nextRecords(event)
	if err != nil {
		return nil, err
	}
	losses, lossRevision := r.publisher.losses.SinceWithRevision(r.lossRevision)
	r.lossRevision, event.Losses = lossRevision, toLosses(losses, time.Now())
	r.addStatements(event)
	hasUpdates := event.Evacuations != nil || event.SlotCoordinator != nil || event.Statements != nil || event.Document != nil || event.Delta != nil || event.Path != nil || event.Controls != nil || !records.isEmpty() || len(losses) > 0
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
	p := r.publisher
	newest := p.source.Table()
	if newest == nil || newest.Generation <= r.generation || r.queued != nil && r.queued.newest == newest.Generation {
		return nil
	}
	event := &fleetpb.FollowEvent{}
	generation, err := p.tables.fillEvent(newest, r.generation, event)
	if err != nil {
		return err
	}
	next := &queuedTable{event: event, generation: generation, newest: newest.Generation}
	if r.queued != nil {
		next.transmission = r.queued.transmission
	} else {
		next.transmission = p.pacer.enqueue(proto.Size(event))
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

// addPath adds the path to this process if it has changed.
func (r *routerStream) addPath(event *fleetpb.FollowEvent) {
	if path := r.publisher.path(); !slices.Equal(path, r.path) {
		r.path, event.Path = path, path
	}
}

// addControls adds the control replicas if they have changed. A router whose stream outlasts all
// replicas that it knows would not find their successors.
func (r *routerStream) addControls(event *fleetpb.FollowEvent) {
	if controls := r.publisher.source.Controls(); len(controls) > 0 && !slices.Equal(controls, r.controls) {
		r.controls, event.Controls = controls, controls
	}
}

// addStatements adds the news of rate limits that the router lacks, and each HeartbeatInterval the
// other statements. The first event also has those that the router reported itself: it may have
// restarted.
func (r *routerStream) addStatements(event *fleetpb.FollowEvent) {
	now := time.Now()
	newsOnly := now.Sub(r.statementsSent) < HeartbeatInterval
	if !newsOnly {
		r.statementsSent = now
	}
	to := originNone
	if r.firstSent {
		to = origin{relation: relationFollower, follower: r.instance}
	}
	statements, cursor := r.publisher.statements.changes(r.statements, newsOnly, to, now)
	r.statements, event.Statements = cursor, toRateStatements(statements, now)
}

// tableGranted returns a channel that is closed once the queued table may be sent, or nil if
// no table is queued.
func (r *routerStream) tableGranted() <-chan struct{} {
	if r.queued == nil {
		return nil
	}
	return r.queued.transmission.granted
}

// isBehind reports whether the router lacks the newest table after the last event, and none
// is queued.
func (r *routerStream) isBehind() bool {
	newest := r.publisher.source.Table()
	return r.queued == nil && newest != nil && newest.Generation > r.generation
}

// cancelQueued cancels the transmission of a queued table.
func (r *routerStream) cancelQueued() {
	if r.queued != nil {
		r.publisher.pacer.cancel(r.queued.transmission)
	}
}
