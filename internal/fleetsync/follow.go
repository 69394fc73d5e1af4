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
	// currentGrace is the time without a majority after which a router is told to look for
	// another replica: most elections are over by then, and routers that all left would take
	// the links from the next one. A replica notices the loss after 0.6 s; with the grace and
	// a new stream that is less than the 2 s in which a change comes into force.
	currentGrace = 700 * time.Millisecond
	// staleLimit ends a stream that has been without a majority for longer than any
	// disturbance that leaves the router a way to one.
	staleLimit = 8 * time.Second
	// currentPatience is how long a router waits at a replica that has no leader; the next
	// replica may have one.
	currentPatience = 300 * time.Millisecond
	// maxOpening bounds the streams that begin at a time, so that the replica's other
	// work gets its turns on the smallest known core, a tenth of a processor: the first
	// event takes it 3 ms.
	maxOpening = 4
)

// gatherFor is how long a change of the registry waits for others: after a restart of all
// 140 servers announce themselves within 1.2 s, and 80 routers are told of each. A server
// that drains is to be left alone after 2 s.
const gatherFor = 40 * time.Millisecond

// Follow implements the RPC service. A stream whose replica has heard no majority for
// currentGrace says so and goes on: what replicas share of servers needs no majority, and
// the router leaves when it has found another replica.
func (s *Service) Follow(request *fleetpb.FollowRequest, stream fleetpb.DRPCFleet_FollowStream) error {
	if err := s.awaitCurrent(stream.Context()); err != nil {
		return err
	}
	f := &follower{service: s, stream: stream, generation: request.GetGeneration(), known: fromKnown(request.GetKnown())}
	s.log.Info().Str("router", request.GetInstance()).Uint64("generation", f.generation).Msg("router follows")
	defer f.end()
	err := f.open()
	if err == nil {
		err = f.run()
	}
	s.log.Info().Err(err).Str("router", request.GetInstance()).Msg("router no longer follows")
	return err
}

// awaitCurrent returns once a majority has confirmed that the replica is up to date. A
// replica that waits for its leader keeps routers waiting for a moment rather than refuse
// them: 80 that all ask again and again would take its processor from the election.
func (s *Service) awaitCurrent(ctx context.Context) error {
	for begun := time.Now(); !s.isSynced() || !s.group.HasQuorum(); {
		if time.Since(begun) > currentPatience || !actor.Sleep(ctx, currentPoll/4) {
			return errNotCurrent
		}
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	return s.confirms.do(ctx)
}

// follower is the stream to one router.
type follower struct {
	service    *Service
	stream     fleetpb.DRPCFleet_FollowStream
	generation uint64
	revision   uint64
	lastSent   time.Time
	// known is what the router had when it came, nil once the first event was sent.
	known map[uint64]uint32
	begun bool
	// table is the route table that waits for its turn on the link, or nil.
	table *dueTable
	// current is when the replica heard a majority last; stale says that this was long ago.
	current time.Time
	stale   bool
}

// dueTable is a route table on its way to a router, whole or as a delta.
type dueTable struct {
	event      *fleetpb.FollowEvent
	generation uint64
	turn       *turn
}

// open sends the first event, a few streams at a time.
func (f *follower) open() error {
	ctx := f.stream.Context()
	select {
	case f.service.opening <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-f.service.opening }()
	_, err := f.sendNews()
	return err
}

// run sends what is new until the router leaves or the majority is lost.
func (f *follower) run() error {
	tables, stop := f.service.group.Subscribe()
	defer stop()
	poll := time.NewTicker(currentPoll)
	defer poll.Stop()
	f.current = time.Now()
	for {
		changed, err := f.sendNews()
		if err != nil {
			return err
		}
		select {
		case <-f.stream.Context().Done():
			return f.stream.Context().Err()
		case <-tables:
		case <-changed:
			// Servers that come together are told together.
			actor.Sleep(f.stream.Context(), gatherFor)
		case <-f.tableDue():
		case <-poll.C:
		}
		if f.noteCurrent(time.Now()) > staleLimit {
			return errNotCurrent
		}
	}
}

// noteCurrent returns how long the replica has heard no majority. A change is told with the
// next event, which is due at once.
func (f *follower) noteCurrent(now time.Time) time.Duration {
	if f.service.group.HasQuorum() {
		f.current = now
	}
	since := now.Sub(f.current)
	if stale := since > currentGrace; stale != f.stale {
		f.stale, f.lastSent = stale, time.Time{}
	}
	return since
}

// sendNews sends what the router lacks, or a heartbeat where it is time for one.
// It returns the channel that the next change of the registry closes.
func (f *follower) sendNews() (<-chan struct{}, error) {
	event := &fleetpb.FollowEvent{}
	if err := f.prepareTable(); err != nil {
		return nil, err
	}
	f.takeDueTable(event)
	records, changed, err := f.records(event)
	if err != nil {
		return nil, err
	}
	isNews := event.Document != nil || event.Delta != nil || !records.isEmpty()
	if !isNews && f.begun && time.Since(f.lastSent) < HeartbeatEvery {
		return changed, nil
	}
	event.Servers, event.Packed, event.Stale = records.servers, records.packed, f.stale
	f.begun, f.lastSent = true, time.Now()
	return changed, f.stream.Send(event)
}

// prepareTable has the newest route table wait for its turn on the link. One that
// waits already is replaced in its place.
func (f *follower) prepareTable() error {
	s := f.service
	d := s.group.RouteTable()
	if d == nil || d.Generation <= f.generation || f.table != nil && f.table.generation == d.Generation {
		return nil
	}
	event := &fleetpb.FollowEvent{}
	if err := s.tables.event(d, f.generation, event); err != nil {
		return err
	}
	next := &dueTable{event: event, generation: d.Generation}
	if f.table != nil {
		next.turn = f.table.turn
	} else {
		next.turn = s.pacer.queue(proto.Size(event))
	}
	f.table = next
	return nil
}

// takeDueTable moves the table into an event when its turn has come. Servers and
// heartbeats do not wait for it: that a server leaves has to be known in time, and a router
// leaves a replica that is silent.
func (f *follower) takeDueTable(event *fleetpb.FollowEvent) {
	if f.table == nil {
		return
	}
	select {
	case <-f.table.turn.granted:
		event.Document, event.Delta = f.table.event.Document, f.table.event.Delta
		f.generation, f.table = f.table.generation, nil
	default:
	}
}

// tableDue returns a channel that is closed when the table's turn has come, or nil.
func (f *follower) tableDue() <-chan struct{} {
	if f.table == nil {
		return nil
	}
	return f.table.turn.granted
}

// end gives up what the router was still to be sent.
func (f *follower) end() {
	if f.table != nil {
		f.service.pacer.withdraw(f.table.turn)
	}
}

// records returns the records that the router lacks, and the channel that the next
// change of the registry closes. The first time it also fills in what the router is told
// when it comes.
func (f *follower) records(event *fleetpb.FollowEvent) (*recordList, <-chan struct{}, error) {
	s := f.service
	s.mu.Lock()
	defer s.mu.Unlock()
	from, isFirst := f.revision, !f.begun
	f.revision = s.table.Revision()
	if isFirst {
		event.First = true
		event.Controls = s.group.Replicas()
	}
	if len(f.known) == 0 {
		records, err := s.recordsSince(from)
		return records, s.changed, err
	}
	now := time.Now()
	var servers []*fleetpb.Server
	servers, event.Unknown = lacking(s.table.Since(0), f.known, now)
	f.known = nil
	records, err := newRecordList(servers)
	return records, s.changed, err
}

// recordsSince returns the records that changed above a revision; mu is held. Routers ask
// for the same ones at the same time, so they are kept until the next change.
func (s *Service) recordsSince(revision uint64) (*recordList, error) {
	if s.recordsAt != s.table.Revision() {
		s.recordsAt = s.table.Revision()
		clear(s.recordsBySince)
	}
	if kept := s.recordsBySince[revision]; kept != nil {
		return kept, nil
	}
	now, entries := time.Now(), s.table.Since(revision)
	var servers []*fleetpb.Server
	if revision == 0 {
		servers, _ = lacking(entries, nil, now)
	} else {
		servers = toServers(entries, now)
	}
	records, err := newRecordList(servers)
	if err == nil {
		s.recordsBySince[revision] = records
	}
	return records, err
}

// lacking returns the records that a router lacks, and the servers that only it knows.
// A server that left is told only to those that know it.
func lacking(entries []registry.Entry, known map[uint64]uint32, now time.Time) (servers []*fleetpb.Server, unknown []uint64) {
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
