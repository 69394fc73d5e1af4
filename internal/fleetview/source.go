package fleetview

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc"

	"peridotwinch.example/peridotwinch/internal/fleetsync"
	"peridotwinch.example/peridotwinch/internal/relay"
	"peridotwinch.example/peridotwinch/internal/rpc"
	"peridotwinch.example/peridotwinch/internal/rpc/fleetpb"
)

// maxEventAge is the time without an event after which the view no longer counts as up to
// date for routers that follow it: two and a half heartbeats.
const maxEventAge = fleetsync.HeartbeatInterval * 5 / 2

var errNoSource = errors.New("router follows no source")

// viewSource implements fleetsync.Source with what a view has received.
type viewSource struct {
	view *View
}

// Table implements fleetsync.Source.
func (s *viewSource) Table() *fleetsync.TableVersion { return s.view.version.Load() }

// HasQuorum implements fleetsync.Source. A router has a quorum if the source that it follows
// has one and is not silent.
func (s *viewSource) HasQuorum() bool {
	v := s.view
	lastEvent := v.lastEvent.Load()
	return v.followedSource().Address != "" && !v.stale.Load() && lastEvent != nil && time.Since(*lastEvent) < maxEventAge
}

// Controls implements fleetsync.Source.
func (s *viewSource) Controls() []string {
	s.view.mu.Lock()
	defer s.view.mu.Unlock()
	return s.view.controls
}

// Upstream implements fleetsync.Source.
func (s *viewSource) Upstream() relay.Path {
	s.view.mu.Lock()
	defer s.view.mu.Unlock()
	return s.view.path
}

// Subscribe implements fleetsync.Source.
func (s *viewSource) Subscribe() (<-chan struct{}, func()) { return s.view.subscribe() }

// Barrier implements fleetsync.Source: it asks the followed source, and waits for the table
// and the evacuations that the source has.
func (s *viewSource) Barrier(ctx context.Context) error {
	v := s.view
	changed, stop := v.subscribe()
	defer stop()
	var confirmed, evacuations uint64
	err := v.callSource(ctx, func(ctx context.Context, conn drpc.Conn) error {
		response, err := fleetpb.NewDRPCFleetClient(conn).Confirm(ctx, &fleetpb.ConfirmRequest{})
		confirmed, evacuations = response.GetGeneration(), response.GetEvacuationRevision()
		return err
	})
	if err != nil {
		return errors.Wrap(err, "confirm the route table")
	}
	for {
		table := v.Table()
		if (confirmed == 0 || table != nil && table.Generation >= confirmed) && v.hasEvacuations(evacuations) {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Depth returns the number of hops from control to this router, or 0 before it has followed a
// source.
func (v *View) Depth() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.path.Depth()
}

// Followers returns the number of routers that follow this one.
func (v *View) Followers() int { return v.relay.Subscribers() }

// callSource runs call with a connection to the followed source.
func (v *View) callSource(ctx context.Context, call func(ctx context.Context, conn drpc.Conn) error) error {
	client := v.upstreamClient()
	if client == nil {
		return errNoSource
	}
	return client.Do(ctx, call)
}

// upstreamClient returns the client of the followed source, or nil if there is none.
func (v *View) upstreamClient() *rpc.Client {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.upstream != nil && v.upstream.Address() != v.followed.Address {
		v.upstream.Close()
		v.upstream = nil
	}
	if v.upstream == nil && v.followed.Address != "" {
		v.upstream = rpc.NewClient(v.followed.Address, rpc.PurposeFleet)
	}
	return v.upstream
}

func (v *View) setFollowed(source relay.Source) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.followed = source
}

func (v *View) followedSource() relay.Source {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.followed
}

// subscribe returns a channel that receives a value after each change of the table, the path or
// the evacuations, and a function that ends the subscription.
func (v *View) subscribe() (<-chan struct{}, func()) {
	changed := make(chan struct{}, 1)
	v.mu.Lock()
	defer v.mu.Unlock()
	v.subscriptions[changed] = true
	return changed, func() {
		v.mu.Lock()
		defer v.mu.Unlock()
		delete(v.subscriptions, changed)
	}
}

// notify wakes the subscriptions.
func (v *View) notify() {
	v.mu.Lock()
	defer v.mu.Unlock()
	for changed := range v.subscriptions {
		select {
		case changed <- struct{}{}:
		default:
		}
	}
}
