package fleetsync

import (
	"sync"
	"time"

	"peridotwinch.example/peridotwinch/internal/relay"
	"peridotwinch.example/peridotwinch/internal/rpc/fleetpb"
	"peridotwinch.example/peridotwinch/internal/slotshare"
)

// coordinatorName is what a process knows of the router that coordinates the slots of small pools.
// It is safe for concurrent use.
type coordinatorName struct {
	mu     sync.Mutex
	naming slotshare.Naming
}

// name returns the name that is known.
func (c *coordinatorName) name() slotshare.Name {
	c.mu.Lock()
	defer c.mu.Unlock()
	name, _ := c.naming.Name()
	return name
}

// message returns the message for the name, or nil if none is known.
func (c *coordinatorName) message(now time.Time) *fleetpb.SlotCoordinator {
	c.mu.Lock()
	defer c.mu.Unlock()
	name, reportedAt := c.naming.Name()
	if name.Address == "" {
		return nil
	}
	return &fleetpb.SlotCoordinator{Address: name.Address, Term: name.Term, AgeMs: uint32(max(now.Sub(reportedAt), 0).Milliseconds())}
}

// merge merges the name in a message, and reports whether the name changes.
func (c *coordinatorName) merge(message *fleetpb.SlotCoordinator, now time.Time) bool {
	if message.GetAddress() == "" {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	name := slotshare.Name{Address: message.GetAddress(), Term: message.GetTerm()}
	return c.naming.Merge(name, now.Add(-time.Duration(message.GetAgeMs())*time.Millisecond))
}

// offer records that a router that reports can coordinate, unless the address is empty.
func (c *coordinatorName) offer(address string, now time.Time) {
	if address == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.naming.Offer(address, now)
}

func (c *coordinatorName) elect(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.naming.Elect(now)
}

// mergeCoordinator merges a name that another process knows and forwards it if it has changed.
func (p *publisher) mergeCoordinator(message *fleetpb.SlotCoordinator, now time.Time) {
	if !p.coordinator.merge(message, now) {
		return
	}
	p.log.Info().Str("address", message.GetAddress()).Uint64("term", message.GetTerm()).Msg("coordinator of slots changed")
	p.wakeStreams()
}

// electCoordinator names a router if the named one has not reported for some time. A replica that
// has just started, or has no quorum, may not know that it reports to another replica.
func (s *Service) electCoordinator(now time.Time) {
	s.mu.Lock()
	s.noteRunning(now)
	knowsNames := now.Sub(s.runningSince) > relay.SubtreeRetention
	s.mu.Unlock()
	if !knowsNames || !s.source.HasQuorum() || !s.coordinator.elect(now) {
		return
	}
	name := s.coordinator.name()
	s.log.Info().Str("address", name.Address).Uint64("term", name.Term).Msg("coordinator of slots named")
	s.wakeStreams()
	s.scheduleShare()
}

// addCoordinator adds the coordinator of slots if it has changed.
func (r *routerStream) addCoordinator(event *fleetpb.FollowEvent) {
	if name := r.publisher.coordinator.name(); name != r.coordinator {
		r.coordinator, event.SlotCoordinator = name, r.publisher.coordinator.message(time.Now())
	}
}

// MergeCoordinator records the coordinator of slots that the source knows, and returns the address
// of the one that counts; it is empty if none is known.
func (r *Relay) MergeCoordinator(message *fleetpb.SlotCoordinator, now time.Time) string {
	r.mergeCoordinator(message, now)
	return r.coordinator.name().Address
}
