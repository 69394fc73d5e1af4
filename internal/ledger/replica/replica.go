// Package replica is the server side of the ledger role. It runs one replica per
// group: it applies operations to the group's deterministic state machine, makes
// the log entries durable before it replies, and handles group formation, recovery
// after a lost disk, restarts and membership changes.
package replica

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"peridotwinch.example/peridotwinch/internal/actor"
	"peridotwinch.example/peridotwinch/internal/durable"
	"peridotwinch.example/peridotwinch/internal/ledger"
	"peridotwinch.example/peridotwinch/internal/ledger/storage"
)

const (
	// defaultCompactBytes is the default of Options.CompactBytes.
	defaultCompactBytes = 32 << 20
	// expireInterval is the time between two removals of expired records.
	expireInterval = time.Minute
	// writeRetryDelay is the delay before a write to a full disk is retried.
	writeRetryDelay = 100 * time.Millisecond
)

// Options configures a replica.
type Options struct {
	// Retention is how long the replica keeps the records of finished keys.
	Retention time.Duration
	// CompactBytes is the size of a log segment in bytes above which a commit
	// starts a snapshot; 0 means 32 MiB.
	CompactBytes int64
}

// batch is a group commit: the entries of concurrent updates that are made durable
// together.
type batch struct {
	entries []ledger.Entry
	// done is closed when the commit has finished; err is set before.
	done chan struct{}
	err  error
}

func newBatch() *batch { return &batch{done: make(chan struct{})} }

// Replica is one replica in one group. It is safe for concurrent use.
type Replica struct {
	log     zerolog.Logger
	options Options
	wal     *storage.Log
	// wake has an element when Run must commit the pending batch.
	wake chan struct{}

	mu    sync.Mutex
	state *ledger.State
	// pending collects the entries for the next commit.
	pending *batch
	// committing is the batch that is being made durable, or nil.
	committing *batch
	// failed is the error that stopped the replica, or that of a write which is retried.
	failed error

	snapshots sync.WaitGroup
	// compacting receives the result of the snapshot that is being written. It is
	// nil otherwise; only Run uses it.
	compacting chan error
}

// Open reads the replica's state from the directory dir. It returns an api.Error
// with CodeDataDamaged for damaged files.
func Open(dir string, log zerolog.Logger, options Options) (*Replica, error) {
	if options.CompactBytes == 0 {
		options.CompactBytes = defaultCompactBytes
	}
	state := ledger.NewState(options.Retention)
	wal, err := storage.Open(dir, state.Apply)
	if err != nil {
		return nil, err
	}
	return &Replica{
		log:     log,
		options: options,
		wal:     wal,
		wake:    make(chan struct{}, 1),
		state:   state,
		pending: newBatch(),
	}, nil
}

// Meta returns the replica's metadata and its number of records.
func (r *Replica) Meta() (ledger.Meta, int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Meta(), r.state.Len()
}

// Update calls change with the state and returns once all changes visible to it
// are durable, even if it made none itself: a reply must never depend on state
// that a crash can undo. change must not block. If ctx ends before the commit,
// Update returns its error, but the change remains in the state.
func (r *Replica) Update(ctx context.Context, change func(state *ledger.State) []ledger.Entry) error {
	r.mu.Lock()
	if err := r.failed; err != nil {
		r.mu.Unlock()
		return err
	}
	r.pending.entries = append(r.pending.entries, change(r.state)...)
	awaited := r.committing
	if len(r.pending.entries) > 0 {
		awaited = r.pending
	}
	r.mu.Unlock()
	if awaited == nil {
		return nil
	}
	r.signalCommit()
	select {
	case <-awaited.done:
		return awaited.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// signalCommit makes Run commit the pending batch.
func (r *Replica) signalCommit() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Run makes entries durable until ctx ends. While the disk is full, it retries, and new
// updates fail. After Run has returned, every Update fails.
func (r *Replica) Run(ctx context.Context) error {
	expire := time.NewTicker(expireInterval)
	defer expire.Stop()
	defer r.close()
	for {
		select {
		case <-ctx.Done():
			return r.commit(ctx)
		case <-expire.C:
			r.expire()
		case err := <-r.compacting:
			r.compacting = nil
			if err != nil {
				r.log.Error().Err(err).Msg("snapshot not written; the log keeps its segments")
			}
		case <-r.wake:
			if err := r.commit(ctx); err != nil {
				return err
			}
		}
	}
}

// close fails the pending batch and all later updates, waits for a snapshot in
// progress, and closes the log.
func (r *Replica) close() {
	r.mu.Lock()
	if r.failed == nil {
		r.failed = errors.New("the ledger replica has stopped")
	}
	last := r.pending
	last.err = r.failed
	r.mu.Unlock()
	close(last.done)
	r.snapshots.Wait()
	_ = r.wal.Close()
}

// expire removes the records that are past their retention.
func (r *Replica) expire() {
	r.mu.Lock()
	entries := r.state.Expire(time.Now())
	r.pending.entries = append(r.pending.entries, entries...)
	r.mu.Unlock()
	r.signalCommit()
}

// commit writes and syncs the pending entries of all callers together. If the
// segment is larger than CompactBytes, it also starts a snapshot of the state,
// which includes these entries.
func (r *Replica) commit(ctx context.Context) error {
	r.mu.Lock()
	current := r.pending
	r.pending, r.committing = newBatch(), current
	var snapshot []ledger.Entry
	if r.compacting == nil && r.wal.Size() > r.options.CompactBytes {
		snapshot = r.copyState()
	}
	r.mu.Unlock()
	current.err = r.append(ctx, current.entries)
	r.mu.Lock()
	r.committing, r.failed = nil, current.err
	r.mu.Unlock()
	close(current.done)
	if current.err == nil && snapshot != nil {
		r.startSnapshot(snapshot)
	}
	return current.err
}

// append makes entries durable. It retries while the disk is full; meanwhile updates fail
// instead of adding entries that cannot be written.
func (r *Replica) append(ctx context.Context, entries []ledger.Entry) error {
	for logged := false; ; logged = true {
		err := r.wal.Append(entries)
		if !errors.Is(err, durable.ErrNotWritten) {
			return err
		}
		if !logged {
			r.log.Error().Err(err).Msg("ledger entries not written; retrying until the disk accepts them")
		}
		r.mu.Lock()
		r.failed = err
		r.mu.Unlock()
		if !actor.Sleep(ctx, writeRetryDelay) {
			return err
		}
	}
}

// copyState returns the whole state as entries, the metadata first. The caller
// holds mu.
func (r *Replica) copyState() []ledger.Entry {
	meta := r.state.Meta()
	entries := make([]ledger.Entry, 0, r.state.Len()+1)
	entries = append(entries, ledger.Entry{Meta: &meta})
	for key, record := range r.state.Records {
		entries = append(entries, ledger.Entry{Key: key, Record: record})
	}
	return entries
}

// startSnapshot starts a new segment and writes a snapshot of the state before it,
// concurrently with later commits. If the disk refuses that, the log keeps its segments, and
// the next large segment starts another snapshot.
func (r *Replica) startSnapshot(entries []ledger.Entry) {
	number, err := r.wal.Rotate()
	if err != nil {
		r.log.Error().Err(err).Msg("log segment not rotated; no snapshot is written")
		return
	}
	finished := make(chan error, 1)
	r.compacting = finished
	r.snapshots.Go(func() { finished <- r.wal.WriteSnapshot(number, entries) })
}

// Copy returns the replica's metadata, followed by all of its records, as entries.
func (r *Replica) Copy() []ledger.Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.copyState()
}
