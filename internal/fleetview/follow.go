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
	// silenceLimit is the time without an event after which a stream counts as
	// dead. A new one has to be open before the 2 s in which a change comes into
	// force are over.
	silenceLimit = 1200 * time.Millisecond
	// openLimit bounds the first event, for which the replica asks a majority.
	openLimit = 1800 * time.Millisecond
	// retryDelay is the pause before the next replica is tried. It doubles, up to
	// maxRetryDelay, each time that all have been tried: an attempt takes a replica of the
	// largest known deployment 0.4 of the 96 ms that its processor has a second.
	retryDelay    = 50 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
	// preferEvery is the shortest time between two looks whether the router's preferred
	// replica can be followed, which after a disturbance many routers are not; half as
	// much is added at random, so that they do not move together.
	preferEvery = 4 * time.Second
	// preferWithin is the time in which the preferred replica has to answer to be moved to. It
	// takes 40 ms on the smallest known core; one that takes longer is busy with changes, and
	// so is the followed one, whose stream carries them.
	preferWithin = 100 * time.Millisecond
	// staleRetry is about the time between two looks for another replica while the followed
	// one hears no majority.
	staleRetry = 200 * time.Millisecond
)

var errSilent = errors.New("the control replica has fallen silent")

// movesTo says that another replica can be followed and is better.
type movesTo struct{ address string }

// Error implements error.
func (m *movesTo) Error() string { return "control replica " + m.address + " can be followed" }

// Run follows one control replica after the other until ctx ends, the preferred one
// whenever it can be followed.
func (v *View) Run(ctx context.Context) error {
	delay := retryDelay
	for next := 0; ctx.Err() == nil; next++ {
		addresses := v.sources()
		address := addresses[next%len(addresses)]
		err := v.followUntilBetter(ctx, address)
		for moves := (*movesTo)(nil); errors.As(err, &moves); {
			v.log.Info().Str("from", address).Str("control", moves.address).Msg("router moves to another control replica")
			address = moves.address
			err = v.followUntilBetter(ctx, address)
		}
		v.log.Warn().Err(err).Str("control", address).Msg("control replica is no longer followed")
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

// wasFollowed reports whether a replica has been followed since it was asked last.
func (v *View) wasFollowed() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	was := v.hasFollowed
	v.hasFollowed = false
	return was
}

// followUntilBetter follows a replica until that fails, or until a better one has answered:
// the preferred one, or any other while this one hears no majority.
func (v *View) followUntilBetter(ctx context.Context, address string) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	v.stale.Store(false)
	go func() {
		if better := v.findBetter(ctx, address); better != "" {
			cancel(&movesTo{better})
		}
	}()
	return v.follow(ctx, address)
}

// findBetter returns a replica that answers and is better than the followed one, or
// nothing when ctx ends.
func (v *View) findBetter(ctx context.Context, address string) string {
	preferAt := time.Now().Add(preferEvery + rand.N(preferEvery/2))
	for tried := 0; actor.Sleep(ctx, staleRetry/2+rand.N(staleRetry)); {
		candidate, within := "", openLimit
		switch now := time.Now(); {
		case v.stale.Load():
			others := slices.DeleteFunc(v.sources(), func(a string) bool { return a == address })
			if len(others) == 0 {
				continue
			}
			candidate = others[tried%len(others)]
			tried++
		case now.After(preferAt):
			preferAt = now.Add(preferEvery + rand.N(preferEvery/2))
			candidate, within = v.sources()[0], preferWithin
		}
		// Without a table one is on its way, and would have to be sent again.
		if candidate == "" || candidate == address || v.Table() == nil {
			continue
		}
		begun := time.Now()
		if err := v.probe(ctx, candidate); err == nil && time.Since(begun) < within {
			return candidate
		}
	}
	return ""
}

// sources returns the control replicas to try, in an order of this router's own,
// so that routers spread over the replicas.
func (v *View) sources() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return ordered(v.instance, slices.Concat(v.controls, v.seeds))
}

// Preferred returns the control replica that a router follows where it can.
func Preferred(instance string, controls []string) string { return ordered(instance, controls)[0] }

func ordered(instance string, controls []string) []string {
	out := slices.Clone(controls)
	slices.SortFunc(out, func(a, b string) int { return cmp.Compare(rank(instance, a), rank(instance, b)) })
	return slices.Compact(out)
}

// rank orders the control replicas for one router.
func rank(instance, address string) uint64 { return xxhash.Sum64String(instance + " " + address) }

// follow takes the events of one replica until it fails or falls silent.
func (v *View) follow(ctx context.Context, address string) error {
	defer v.setFollowed("")
	return v.stream(ctx, address, func(event *fleetpb.FollowEvent) error {
		if was := v.stale.Swap(event.GetStale()); was != event.GetStale() {
			v.log.Info().Str("control", address).Bool("stale", event.GetStale()).Msg("control replica hears a majority or not")
		}
		return v.take(address, event)
	})
}

// probe reports whether a replica can be followed.
func (v *View) probe(ctx context.Context, address string) error {
	answered := errors.New("answered")
	err := v.stream(ctx, address, func(*fleetpb.FollowEvent) error { return answered })
	if errors.Is(err, answered) {
		return nil
	}
	return err
}

// stream opens a stream and hands its events over until it fails or falls silent.
func (v *View) stream(ctx context.Context, address string, take func(*fleetpb.FollowEvent) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(openLimit, func() { cancel(errSilent) })
	defer watchdog.Stop()
	client := rpc.NewClient(address, rpc.PurposeFleet)
	defer client.Close()
	request := v.request()
	err := client.Do(ctx, func(ctx context.Context, conn drpc.Conn) error {
		// The connection is closed as soon as the replica is silent: a call on it
		// would wait for an answer.
		defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
		stream, err := fleetpb.NewDRPCFleetClient(conn).Follow(ctx, request)
		if err != nil {
			return errors.Wrap(err, "follow a control replica")
		}
		for {
			event, err := stream.Recv()
			if err != nil {
				return errors.Wrap(err, "receive an event")
			}
			watchdog.Reset(silenceLimit)
			now := time.Now()
			v.heard.Store(&now)
			if err := take(event); err != nil {
				return err
			}
		}
	})
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

// request names what the router has, so that a replica sends the rest only.
func (v *View) request() *fleetpb.FollowRequest {
	v.mu.Lock()
	defer v.mu.Unlock()
	request := &fleetpb.FollowRequest{
		Instance: v.instance, FailureDomain: v.domain, Known: fleetsync.ToKnown(slices.Collect(maps.Values(v.servers))),
	}
	if table := v.Table(); table != nil && !v.wantsWhole {
		request.Generation = table.Generation
	}
	return request
}
