package fleetsync

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"storj.io/drpc"

	"peridotwinch.example/peridotwinch/internal/actor"
	"peridotwinch.example/peridotwinch/internal/quarantine"
	"peridotwinch.example/peridotwinch/internal/rpc/fleetpb"
)

const (
	// lossBatchDelay is how long losses are collected before they are reported.
	lossBatchDelay = 20 * time.Millisecond
	// refutationDelay is the mean delay of a report that only refutes parts of known losses.
	// Many routers refute the same part at the same time; most learn within the delay that the
	// source knows already.
	refutationDelay = 250 * time.Millisecond
	// lossRetryInterval is the time until a failed report is retried.
	lossRetryInterval = 200 * time.Millisecond
	// lossResyncInterval is the minimum time between two transfers of all losses to a replica
	// that has others.
	lossResyncInterval = 5 * time.Second
	// lossReportTimeout limits a report. It leaves time for reports to two more sources before
	// a router has to know.
	lossReportTimeout = 400 * time.Millisecond
)

// caller makes a call to another process.
type caller func(ctx context.Context, call func(context.Context, drpc.Conn) error) error

// LossSender tracks which losses another process has. It is safe for concurrent use.
type LossSender struct {
	store *quarantine.Store
	// changed receives a value after a change of the store.
	changed chan struct{}

	mu    sync.Mutex
	known map[uint64]lossMasks
	// resyncedAt is when the other process last turned out to have other losses.
	resyncedAt time.Time
}

type lossMasks struct{ answered, contrasted uint32 }

// NewLossSender returns a sender for a process that has no losses yet.
func NewLossSender(store *quarantine.Store) *LossSender {
	s := &LossSender{store: store, changed: make(chan struct{}, 1), known: make(map[uint64]lossMasks)}
	store.OnChange(s.wake)
	s.wake()
	return s
}

func (s *LossSender) wake() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// Reset records that the other process has no losses, or only those that it sends next.
func (s *LossSender) Reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.known)
	s.wake()
}

// Compare resets the sender if the other process has another set of losses.
func (s *LossSender) Compare(digest uint64, now time.Time) {
	if digest == s.store.Digest() {
		return
	}
	s.mu.Lock()
	due := now.Sub(s.resyncedAt) >= lossResyncInterval
	if due {
		s.resyncedAt = now
	}
	s.mu.Unlock()
	if due {
		s.Reset()
	}
}

// MarkKnown records that the other process has these losses.
func (s *LossSender) MarkKnown(losses []quarantine.Loss) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range losses {
		id := losses[i].ID()
		known := s.known[id]
		s.known[id] = lossMasks{known.answered | losses[i].Answered, known.contrasted | losses[i].Contrasted}
	}
}

// missing returns the losses of which the other process lacks something, and whether it lacks
// any of them entirely.
func (s *LossSender) missing() (losses []quarantine.Loss, lacksAny bool) {
	all := s.store.Since(0)
	s.mu.Lock()
	defer s.mu.Unlock()
	present := make(map[uint64]lossMasks, len(all))
	for i := range all {
		id := all[i].ID()
		known, found := s.known[id]
		if found {
			present[id] = known
		}
		if !found || all[i].Answered&^known.answered != 0 || all[i].Contrasted&^known.contrasted != 0 {
			losses = append(losses, all[i])
			lacksAny = lacksAny || !found
		}
	}
	s.known = present
	return losses, lacksAny
}

// Run reports losses to the other process until ctx ends.
func (s *LossSender) Run(ctx context.Context, do caller) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.changed:
		}
		for actor.Sleep(ctx, lossBatchDelay) {
			losses, lacksAny := s.missing()
			if len(losses) == 0 {
				break
			}
			if !lacksAny {
				if !actor.Sleep(ctx, refutationDelay/2+rand.N(refutationDelay)) {
					return
				}
				losses, _ = s.missing()
			}
			if s.report(ctx, losses, do) != nil {
				actor.Sleep(ctx, lossRetryInterval)
			}
		}
	}
}

func (s *LossSender) report(ctx context.Context, losses []quarantine.Loss, do caller) error {
	if len(losses) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, lossReportTimeout)
	defer cancel()
	err := do(ctx, func(ctx context.Context, conn drpc.Conn) error {
		_, err := fleetpb.NewDRPCFleetClient(conn).ReportLosses(ctx, &fleetpb.LossList{Losses: toLosses(losses, time.Now())})
		return err
	})
	if err == nil {
		s.MarkKnown(losses)
	}
	return err
}

// ReportLosses implements the ReportLosses RPC of the Fleet service.
func (p *publisher) ReportLosses(_ context.Context, list *fleetpb.LossList) (*fleetpb.LossReceipt, error) {
	now := time.Now()
	p.losses.Merge(FromLosses(list.GetLosses(), now), now)
	return &fleetpb.LossReceipt{}, nil
}

// wakeStreams wakes all streams after a change of the losses.
func (p *publisher) wakeStreams() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.notifyChanged()
}

func toLosses(losses []quarantine.Loss, now time.Time) []*fleetpb.Loss {
	out := make([]*fleetpb.Loss, 0, len(losses))
	for _, l := range losses {
		out = append(out, &fleetpb.Loss{
			Server: l.Server, Pool: l.Pool, Parts: l.Parts, SentAgeMs: ageMS(l.SentAt, now), LostAgeMs: ageMS(l.LostAt, now),
			Answered: l.Answered, Contrasted: l.Contrasted, Request: l.Request,
		})
	}
	return out
}

// FromLosses returns the losses of a message that was received at now.
func FromLosses(losses []*fleetpb.Loss, now time.Time) []quarantine.Loss {
	out := make([]quarantine.Loss, 0, len(losses))
	for _, l := range losses {
		out = append(out, quarantine.Loss{
			Server: l.GetServer(), Pool: l.GetPool(), Parts: l.GetParts(), SentAt: timeOf(l.GetSentAgeMs(), now),
			LostAt: timeOf(l.GetLostAgeMs(), now), Answered: l.GetAnswered(), Contrasted: l.GetContrasted(),
			Request: l.GetRequest(),
		})
	}
	return out
}

func ageMS(at, now time.Time) uint32 { return uint32(max(now.Sub(at), 0).Milliseconds()) }

func timeOf(ageMS uint32, now time.Time) time.Time {
	return now.Add(-time.Duration(ageMS) * time.Millisecond)
}
