package quarantine

import (
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
)

// Store is a table that the parts of a process share. It logs verdicts and is safe for concurrent
// use.
type Store struct {
	log zerolog.Logger

	mu    sync.Mutex
	table *Table
	// reported holds the verdicts that were logged.
	reported  map[Part]bool
	listeners []func()
}

// NewStore returns the empty store of an instance.
func NewStore(instance string, log zerolog.Logger) *Store {
	s := &Store{log: log, table: NewTable(instance), reported: make(map[Part]bool)}
	metrics.GetOrCreateGauge("peridotwinch_quarantine_parts", func() float64 { return float64(len(s.Verdicts())) })
	metrics.GetOrCreateGauge("peridotwinch_quarantine_losses", func() float64 { return float64(len(s.Since(0))) })
	return s
}

// OnChange adds a function that is called after each change, without locks held. It must not
// block.
func (s *Store) OnChange(listener func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listeners = append(s.listeners, listener)
}

// Merge adds losses that this process has observed, or that another one has reported.
func (s *Store) Merge(losses []Loss, now time.Time) {
	s.update(func(t *Table) bool { return t.Merge(losses, now) })
}

// RecordAnswer records that a server of the pool has begun to answer a prompt with these parts.
func (s *Store) RecordAnswer(pool string, parts []uint64, now time.Time) {
	s.update(func(t *Table) bool { return t.RecordAnswer(pool, parts, now) })
}

// Release calls Table.Release.
func (s *Store) Release(part Part, now time.Time) (released bool) {
	s.update(func(t *Table) bool {
		released = t.Release(part, now)
		return released
	})
	return released
}

// update changes the table. If it has changed, update logs new verdicts and calls the listeners.
func (s *Store) update(change func(*Table) bool) {
	s.mu.Lock()
	changed := change(s.table)
	var listeners []func()
	if changed {
		s.logVerdicts()
		listeners = s.listeners
	}
	s.mu.Unlock()
	for _, listener := range listeners {
		listener()
	}
}

// logVerdicts logs the verdicts that are new and those that no longer hold; the caller holds mu.
func (s *Store) logVerdicts() {
	for part, verdict := range s.table.verdicts {
		if !s.reported[part] {
			s.reported[part] = true
			s.logPart(part).Int("servers", verdict.Servers).Bool("confirmed", verdict.Confirmed).Msg("prompt part quarantined")
		}
	}
	for part := range s.reported {
		if _, holds := s.table.verdicts[part]; !holds {
			delete(s.reported, part)
			s.logPart(part).Msg("prompt part released from quarantine")
		}
	}
}

func (s *Store) logPart(part Part) *zerolog.Event {
	return s.log.Warn().Str("pool", part.Pool).Str("part", strconv.FormatUint(part.ID, 16))
}

// Decide calls Table.Decide.
func (s *Store) Decide(pool string, parts []uint64, now time.Time) Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Decide(pool, parts, now)
}

// IsSuspected calls Table.IsSuspected.
func (s *Store) IsSuspected(pool string, parts []uint64, server uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.IsSuspected(pool, parts, server)
}

// Since calls Table.Since.
func (s *Store) Since(revision uint64) []Loss {
	losses, _ := s.SinceWithRevision(revision)
	return losses
}

// SinceWithRevision returns the losses that have changed after a revision, and the revision that
// they bring a reader to.
func (s *Store) SinceWithRevision(revision uint64) ([]Loss, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table.Revision() == revision {
		return nil, revision
	}
	return s.table.Since(revision), s.table.Revision()
}

// Digest calls Table.Digest.
func (s *Store) Digest() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Digest()
}

// Verdicts calls Table.Verdicts.
func (s *Store) Verdicts() []Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Verdicts()
}
