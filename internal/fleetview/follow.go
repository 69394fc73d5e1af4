package fleetview

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc"

	"peridotwinch.example/peridotwinch/internal/actor"
	"peridotwinch.example/peridotwinch/internal/fleetsync"
	"peridotwinch.example/peridotwinch/internal/relay"
	"peridotwinch.example/peridotwinch/internal/rpc"
	"peridotwinch.example/peridotwinch/internal/rpc/fleetpb"
)

const (
	// streamIdleTimeout is the time without an event after which a stream is closed.
	// It leaves time to open a new stream within the 2 s in which a change has to be
	// in force.
	streamIdleTimeout = 1200 * time.Millisecond
	// acceptTimeout limits the wait until a source accepts the subscription, connecting
	// included. Together with streamIdleTimeout, two more sources that do not answer can be
	// tried within 2.5 s.
	acceptTimeout = 500 * time.Millisecond
	// openTimeout limits the wait for the first data after that, which the source sends
	// once a majority has confirmed its state.
	openTimeout = 1800 * time.Millisecond
	// redirectDelay is the maximum delay, chosen at random, before a router follows a
	// redirection.
	redirectDelay = 20 * time.Millisecond
	// attemptsPerBackoff is the number of failed attempts after which the retry delay
	// doubles even if not all control replicas have been tried.
	attemptsPerBackoff = 4
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

var (
	errNotAccepted = errors.New("source did not accept the subscription in time")
	errNoEvent     = errors.New("source sent no event within the timeout")
	errFull        = errors.New("source serves as many routers as it can")
	errPath        = errors.New("source is too far from control, or this router relays to it")
)

// switchError ends a stream because a better source can be followed.
type switchError struct{ source relay.Source }

// Error implements error.
func (e *switchError) Error() string {
	return "better source " + e.source.Address + " is available"
}

// redirectError ends a stream because the source has redirected the router to relays.
type redirectError struct{ relays []string }

// Error implements error.
func (e *redirectError) Error() string { return "redirected to relays" }

// refusalError ends a stream whose source has answered but sent no data.
type refusalError struct{ cause error }

// Error implements error.
func (e *refusalError) Error() string { return "source could not serve the router: " + e.cause.Error() }

// Run follows one source at a time until ctx is done: a control replica, or a relay to
// which a source has redirected the router.
func (v *View) Run(ctx context.Context) error {
	delay := retryDelay
	for attempts := 1; ctx.Err() == nil; attempts++ {
		source := v.nextSource()
		err := v.followUntilBetter(ctx, source)
		for switched := (*switchError)(nil); errors.As(err, &switched); {
			v.log.Info().Str("from", source.Address).Str("source", switched.source.Address).Bool("relay", switched.source.IsRelay).
				Msg("router switches to another source")
			source = switched.source
			err = v.followUntilBetter(ctx, source)
		}
		if redirected := (*redirectError)(nil); errors.As(err, &redirected) {
			v.redirect(redirected.relays)
			actor.Sleep(ctx, rand.N(redirectDelay))
			continue
		}
		v.log.Warn().Err(err).Str("source", source.Address).Bool("relay", source.IsRelay).Msg("subscription to source ended")
		exhausted := v.recordFailure(source, err)
		switch {
		case v.wasFollowed():
			delay, attempts = retryDelay, 0
		case exhausted || attempts%attemptsPerBackoff == 0:
			delay = min(2*delay, maxRetryDelay)
		}
		actor.Sleep(ctx, delay/2+rand.N(delay))
	}
	return nil
}

func (v *View) nextSource() relay.Source {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.selector.Next(time.Now())
}

func (v *View) redirect(relays []string) {
	v.log.Debug().Strs("relays", relays).Msg("redirected to relays")
	v.mu.Lock()
	defer v.mu.Unlock()
	v.selector.Redirect(relays)
}

// recordFailure records that a source could not be followed or is no longer followed. It
// reports whether all control replicas have been tried.
func (v *View) recordFailure(source relay.Source, err error) (exhausted bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if errors.Is(err, errPath) {
		v.selector.RefusedForPath()
		return false
	}
	if refusal := (*refusalError)(nil); errors.As(err, &refusal) {
		return v.selector.Refused(source, time.Now())
	}
	return v.selector.Failed(source, time.Now())
}

// wasFollowed reports whether a stream has begun since the last call.
func (v *View) wasFollowed() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	followed := v.newlyFollowed
	v.newlyFollowed = false
	return followed
}

// followUntilBetter follows a source until its stream fails, or until a better source
// has answered: the preferred control replica, or any other source while this one has no
// quorum. In the latter case it returns a switchError.
func (v *View) followUntilBetter(ctx context.Context, source relay.Source) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	v.stale.Store(false)
	go func() {
		if better := v.findBetterSource(ctx, source); better.Address != "" {
			cancel(&switchError{better})
		}
	}()
	return v.follow(ctx, source)
}

// findBetterSource returns a source that answers and is better than the followed one, or
// an empty one when ctx is done.
func (v *View) findBetterSource(ctx context.Context, followed relay.Source) relay.Source {
	nextPreferredCheck := time.Now().Add(preferredCheckInterval + rand.N(preferredCheckInterval/2))
	for tried := 0; actor.Sleep(ctx, staleRetryInterval/2+rand.N(staleRetryInterval)); {
		candidate, limit := relay.Source{}, openTimeout
		switch now := time.Now(); {
		case v.stale.Load():
			alternatives := v.alternatives(followed)
			if len(alternatives) == 0 {
				continue
			}
			candidate = alternatives[tried%len(alternatives)]
			tried++
		case now.After(nextPreferredCheck):
			nextPreferredCheck = now.Add(preferredCheckInterval + rand.N(preferredCheckInterval/2))
			candidate, limit = v.preferredSource(followed), preferredAnswerLimit
		}
		// While the router has no table, the followed source is still sending one; another
		// source would have to send it again.
		if candidate.Address == "" || candidate.Address == followed.Address || v.Table() == nil {
			continue
		}
		started := time.Now()
		err := v.probe(ctx, candidate)
		if err == nil && time.Since(started) < limit {
			return candidate
		}
		if redirected := (*redirectError)(nil); errors.As(err, &redirected) && v.stale.Load() {
			v.redirect(redirected.relays)
		}
	}
	return relay.Source{}
}

func (v *View) alternatives(followed relay.Source) []relay.Source {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.selector.Alternatives(followed, time.Now())
}

// preferredSource returns the source to which the router returns if that can be followed: the
// preferred control replica. It returns an empty source if the router follows a relay that
// is not far from control; as many routers as possible would otherwise follow control.
func (v *View) preferredSource(followed relay.Source) relay.Source {
	v.mu.Lock()
	defer v.mu.Unlock()
	if followed.IsRelay && v.path.Depth() < relay.MaxDepth {
		return relay.Source{}
	}
	return relay.Source{Address: v.selector.Preferred()}
}

// PreferredReplica returns the control replica that a router follows if possible: the first in
// the router's order. There has to be at least one replica.
func PreferredReplica(instance string, controls []string) string {
	return PreferenceOrder(instance, controls)[0]
}

// PreferenceOrder returns the control replicas in a router's order of preference.
func PreferenceOrder(instance string, controls []string) []string {
	return relay.Rank(instance, controls)
}

// follow applies the events of one source until its stream fails or times out.
func (v *View) follow(ctx context.Context, source relay.Source) error {
	defer v.setFollowed(relay.Source{})
	return v.stream(ctx, source, func(event *fleetpb.FollowEvent) error {
		now := time.Now()
		v.lastEvent.Store(&now)
		if wasStale := v.stale.Swap(event.GetStale()); wasStale != event.GetStale() {
			v.log.Info().Str("source", source.Address).Bool("stale", event.GetStale()).Msg("source gained or lost its quorum")
		}
		return v.handleEvent(source, event)
	})
}

// probe opens a stream to a source, and returns nil if it receives the first data.
func (v *View) probe(ctx context.Context, source relay.Source) error {
	answered := errors.New("answered")
	err := v.stream(ctx, source, func(*fleetpb.FollowEvent) error { return answered })
	if errors.Is(err, answered) {
		return nil
	}
	return err
}

// stream opens a stream and passes its events to handle until handle or the stream
// fails, or no event is received in time. The error is a redirectError if the source
// redirects the router, and a refusalError if the source answers but sends no data.
func (v *View) stream(ctx context.Context, source relay.Source, handle func(*fleetpb.FollowEvent) error) error {
	// Prepared before acceptTimeout begins: the digest of thousands of records takes a busy router a while.
	request := v.request()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var accepted, received bool
	var watchdog *time.Timer
	watchdog = time.AfterFunc(acceptTimeout, func() { cancel(errNotAccepted) })
	defer func() { watchdog.Stop() }()
	client := rpc.NewClient(source.Address, rpc.PurposeFleet)
	defer client.Close()
	err := client.Do(ctx, func(ctx context.Context, conn drpc.Conn) error {
		// Closing the connection on a timeout ends a pending call, which would otherwise
		// wait for a response.
		defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
		stream, err := fleetpb.NewDRPCFleetClient(conn).Follow(ctx, request)
		if err != nil {
			return errors.Wrap(err, "open a fleet stream")
		}
		for {
			event, err := stream.Recv()
			if err != nil {
				return errors.Wrap(err, "receive an event of a fleet stream")
			}
			watchdog.Stop()
			switch {
			case len(event.GetRedirect()) > 0:
				return &redirectError{event.GetRedirect()}
			case event.GetRefusal() == fleetpb.Refusal_REFUSAL_PATH:
				return errPath
			case event.GetRefusal() != fleetpb.Refusal_REFUSAL_NONE:
				return &refusalError{errFull}
			case event.GetAccepted():
				accepted = true
				watchdog = time.AfterFunc(openTimeout, func() { cancel(errNoEvent) })
				continue
			}
			received = true
			watchdog = time.AfterFunc(streamIdleTimeout, func() { cancel(errNoEvent) })
			if err := handle(event); err != nil {
				return err
			}
		}
	})
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	if refusal := (*refusalError)(nil); accepted && !received && err != nil && !errors.As(err, &refusal) {
		return &refusalError{err}
	}
	return err
}

// request returns a request that lists what the router has, so that a replica sends only
// the rest.
func (v *View) request() *fleetpb.FollowRequest {
	v.mu.Lock()
	defer v.mu.Unlock()
	request := &fleetpb.FollowRequest{
		Instance: v.instance, FailureDomain: v.domain, Address: v.ownAddress, Failed: v.selector.FailedRelays(time.Now()),
	}
	if v.knownRecords == nil {
		v.knownRecords = fleetsync.NewKnownRecords(slices.Collect(maps.Values(v.servers)))
	}
	v.knownRecords.AddTo(request)
	if table := v.Table(); table != nil && !v.needsFullTable {
		request.Generation = table.Generation
	}
	return request
}
