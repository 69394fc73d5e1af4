package fleetview

import (
	"cmp"
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"storj.io/drpc"

	"peridotwinch.example/peridotwinch/internal/actor"
	"peridotwinch.example/peridotwinch/internal/fleetsync"
	"peridotwinch.example/peridotwinch/internal/rpc"
	"peridotwinch.example/peridotwinch/internal/rpc/fleetpb"
)

const (
	// streamIdleTimeout is the time without an event after which a stream is closed.
	// It leaves time to open a new stream within the 2 s in which a change has to be
	// in force.
	streamIdleTimeout = 1200 * time.Millisecond
	// openTimeout limits the wait for the first event, which the replica sends after a
	// majority has confirmed its state.
	openTimeout = 1800 * time.Millisecond
	// retryDelay is the mean backoff before the next replica is tried. It doubles, up to
	// maxRetryDelay, each time that all replicas have been tried: an attempt takes
	// 0.4 ms of the 96 ms of processor time that a replica of the largest known
	// deployment has per second.
	retryDelay    = 50 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
	// preferredCheckInterval is the minimum time between two checks whether the router's
	// preferred replica can be followed. After a disturbance many routers follow another
	// one; up to half as much is added at random, so that they do not switch together.
	preferredCheckInterval = 4 * time.Second
	// preferredAnswerLimit is the longest answer time at which the router switches to the
	// preferred replica. An answer takes 40 ms on the smallest known core. A replica that
	// takes longer is busy with changes, and so is the followed one, whose stream carries
	// them.
	preferredAnswerLimit = 100 * time.Millisecond
	// staleRetryInterval is the mean time between two checks of other replicas while the
	// followed one has no quorum.
	staleRetryInterval = 200 * time.Millisecond
)

var errNoEvent = errors.New("control replica sent no event within the timeout")

// switchError ends a stream because a better replica can be followed.
type switchError struct{ address string }

// Error implements error.
func (e *switchError) Error() string {
	return "better control replica " + e.address + " is available"
}

// Run follows one control replica at a time until ctx is done. It tries the replicas in
// the router's order of preference, and returns to the preferred one when that can be
// followed.
func (v *View) Run(ctx context.Context) error {
	delay := retryDelay
	for next := 0; ctx.Err() == nil; next++ {
		addresses := v.candidates()
		address := addresses[next%len(addresses)]
		err := v.followUntilBetter(ctx, address)
		for switched := (*switchError)(nil); errors.As(err, &switched); {
			v.log.Info().Str("from", address).Str("control", switched.address).Msg("router switches to another control replica")
			address = switched.address
			err = v.followUntilBetter(ctx, address)
		}
		v.log.Warn().Err(err).Str("control", address).Msg("subscription to control replica ended")
		switch {
		case v.wasFollowed():
			delay = retryDelay
		case next%len(addresses) == len(addresses)-1:
			delay = min(2*delay, maxRetryDelay)
		}
		actor.Sleep(ctx, delay/2+rand.N(delay))
	}
	return nil
}

// wasFollowed reports whether a stream has begun since the last call.
func (v *View) wasFollowed() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	followed := v.newlyFollowed
	v.newlyFollowed = false
	return followed
}

// followUntilBetter follows a replica until its stream fails, or until a better replica
// has answered: the preferred one, or any other while this one has no quorum. In the
// latter case it returns a switchError.
func (v *View) followUntilBetter(ctx context.Context, address string) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	v.stale.Store(false)
	go func() {
		if better := v.findBetterReplica(ctx, address); better != "" {
			cancel(&switchError{better})
		}
	}()
	return v.follow(ctx, address)
}

// findBetterReplica returns the address of a replica that answers and is better than the
// followed one, or "" when ctx is done.
func (v *View) findBetterReplica(ctx context.Context, address string) string {
	nextPreferredCheck := time.Now().Add(preferredCheckInterval + rand.N(preferredCheckInterval/2))
	for tried := 0; actor.Sleep(ctx, staleRetryInterval/2+rand.N(staleRetryInterval)); {
		candidate, limit := "", openTimeout
		switch now := time.Now(); {
		case v.stale.Load():
			alternatives := slices.DeleteFunc(v.candidates(), func(a string) bool { return a == address })
			if len(alternatives) == 0 {
				continue
			}
			candidate = alternatives[tried%len(alternatives)]
			tried++
		case now.After(nextPreferredCheck):
			nextPreferredCheck = now.Add(preferredCheckInterval + rand.N(preferredCheckInterval/2))
			candidate, limit = v.candidates()[0], preferredAnswerLimit
		}
		// While the router has no table, the followed replica is still sending one; another
		// replica would have to send it again.
		if candidate == "" || candidate == address || v.Table() == nil {
			continue
		}
		started := time.Now()
		if err := v.probe(ctx, candidate); err == nil && time.Since(started) < limit {
			return candidate
		}
	}
	return ""
}

// candidates returns the control replicas to try. Each router has its own order of them,
// so that the routers are distributed over the replicas.
func (v *View) candidates() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return rankByScore(v.instance, slices.Concat(v.controls, v.seeds))
}

// PreferredReplica returns the control replica that a router follows if possible: the first in
// the router's order. There has to be at least one replica.
func PreferredReplica(instance string, controls []string) string {
	return rankByScore(instance, controls)[0]
}

// rankByScore returns the replicas in a router's order, without duplicates.
func rankByScore(instance string, controls []string) []string {
	out := slices.Clone(controls)
	slices.SortFunc(out, func(a, b string) int { return cmp.Compare(score(instance, a), score(instance, b)) })
	return slices.Compact(out)
}

// score returns a replica's hash for one router; the lowest is preferred.
func score(instance, address string) uint64 { return xxhash.Sum64String(instance + " " + address) }

// follow applies the events of one replica until its stream fails or times out.
func (v *View) follow(ctx context.Context, address string) error {
	defer v.setFollowed("")
	return v.stream(ctx, address, func(event *fleetpb.FollowEvent) error {
		if wasStale := v.stale.Swap(event.GetStale()); wasStale != event.GetStale() {
			v.log.Info().Str("control", address).Bool("stale", event.GetStale()).Msg("control replica gained or lost its quorum")
		}
		return v.handleEvent(address, event)
	})
}

// probe opens a stream to a replica, and returns nil if it receives the first event.
func (v *View) probe(ctx context.Context, address string) error {
	answered := errors.New("answered")
	err := v.stream(ctx, address, func(*fleetpb.FollowEvent) error { return answered })
	if errors.Is(err, answered) {
		return nil
	}
	return err
}

// stream opens a stream and passes its events to handle until handle or the stream
// fails, or no event is received in time.
func (v *View) stream(ctx context.Context, address string, handle func(*fleetpb.FollowEvent) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(openTimeout, func() { cancel(errNoEvent) })
	defer watchdog.Stop()
	client := rpc.NewClient(address, rpc.PurposeFleet)
	defer client.Close()
	request := v.request()
	err := client.Do(ctx, func(ctx context.Context, conn drpc.Conn) error {
		// Closing the connection on a timeout ends a pending call, which would otherwise
		// wait for a response.
		defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
		stream, err := fleetpb.NewDRPCFleetClient(conn).Follow(ctx, request)
		if err != nil {
			return errors.Wrap(err, "open the stream to a control replica")
		}
		for {
			event, err := stream.Recv()
			if err != nil {
				return errors.Wrap(err, "receive an event of a control replica")
			}
			watchdog.Reset(streamIdleTimeout)
			now := time.Now()
			v.lastEvent.Store(&now)
			if err := handle(event); err != nil {
				return err
			}
		}
	})
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

// request returns a request that lists what the router has, so that a replica sends only
// the rest.
func (v *View) request() *fleetpb.FollowRequest {
	v.mu.Lock()
	defer v.mu.Unlock()
	request := &fleetpb.FollowRequest{
		Instance: v.instance, FailureDomain: v.domain, Known: fleetsync.ToKnownServers(slices.Collect(maps.Values(v.servers))),
	}
	if table := v.Table(); table != nil && !v.needsFullTable {
		request.Generation = table.Generation
	}
	return request
}
