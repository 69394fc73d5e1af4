// Package replica runs the replicas of the ledger role: it drives the pure
// state machine of each group, makes its changes durable before it answers, and
// forms and recovers the groups.
package replica

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"peridotwinch.example/peridotwinch/internal/ledger"
	"peridotwinch.example/peridotwinch/internal/ledger/storage"
)

// Limits of a replica.
const (
	compactBytes = 32 << 20
	expireEvery  = time.Minute
)

// Options change how a replica works.
type Options struct {
	Retention time.Duration
	// CompactBytes is the size of a log file that starts a snapshot.
	CompactBytes int64
}

// batch is a group of changes that one sync makes durable.
type batch struct {
	changes []ledger.Change
	done    chan struct{}
	err     error
}

func newBatch() *batch { return &batch{done: make(chan struct{})} }

// Replica is one replica in one group. It is safe for concurrent use.
type Replica struct {
	log     zerolog.Logger
	options Options
	storage *storage.Log
	wake    chan struct{}

	mu      sync.Mutex
	state   *ledger.State
	pending *batch
	// writing is the batch that is being made durable, or nil.
	writing *batch
	failed  error

	snapshots sync.WaitGroup
	// compacting is set while a snapshot is being written; only Run reads it.
	compacting chan error
}

// Open reads the replica's state from its folder.
func Open(dir string, log zerolog.Logger, options Options) (*Replica, error) {
	if options.CompactBytes == 0 {
		options.CompactBytes = compactBytes
	}
	state := ledger.NewState(options.Retention)
	files, err := storage.Open(dir, state.Apply)
	if err != nil {
		return nil, err
	}
	return &Replica{
		log:     log,
		options: options,
		storage: files,
		wake:    make(chan struct{}, 1),
		state:   state,
		pending: newBatch(),
	}, nil
}

// Meta returns the replica's state besides the records, and their number.
func (r *Replica) Meta() (ledger.Meta, int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Meta(), r.state.Len()
}

// Update changes the state and returns once everything that change has seen is
// durable, also when it changed nothing itself: an answer must never rest on
// what a crash may undo. change must not block.
func (r *Replica) Update(ctx context.Context, change func(state *ledger.State) []ledger.Change) error {
	r.mu.Lock()
	if r.failed != nil {
		r.mu.Unlock()
		return r.failed
	}
	r.pending.changes = append(r.pending.changes, change(r.state)...)
	own := r.writing
	if len(r.pending.changes) > 0 {
		own = r.pending
	}
	r.mu.Unlock()
	if own == nil {
		return nil
	}
	r.signal()
	select {
	case <-own.done:
		return own.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (r *Replica) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Run makes changes durable until ctx ends. It fails when the disk does; the
// replica then answers nothing more.
func (r *Replica) Run(ctx context.Context) error {
	expire := time.NewTicker(expireEvery)
	defer expire.Stop()
	defer r.close()
	for {
		select {
		case <-ctx.Done():
			return r.commit()
		case <-expire.C:
			r.expire()
		case err := <-r.compacting:
			r.compacting = nil
			if err != nil {
				return err
			}
		case <-r.wake:
			if err := r.commit(); err != nil {
				return err
			}
		}
	}
}

func (r *Replica) close() {
	r.mu.Lock()
	if r.failed == nil {
		r.failed = errors.New("the replica has stopped")
	}
	own := r.pending
	own.err = r.failed
	r.mu.Unlock()
	close(own.done)
	r.snapshots.Wait()
	_ = r.storage.Close()
}

func (r *Replica) expire() {
	r.mu.Lock()
	changes := r.state.Expire(time.Now())
	r.pending.changes = append(r.pending.changes, changes...)
	r.mu.Unlock()
	r.signal()
}

// commit writes and syncs the pending changes of all callers at once.
func (r *Replica) commit() error {
	r.mu.Lock()
	own := r.pending
	r.pending, r.writing = newBatch(), own
	var snapshot []ledger.Change
	if r.compacting == nil && r.storage.Size() > r.options.CompactBytes {
		snapshot = r.copyState()
	}
	r.mu.Unlock()
	own.err = r.storage.Append(own.changes)
	if own.err == nil && snapshot != nil {
		own.err = r.startSnapshot(snapshot)
	}
	r.mu.Lock()
	r.writing, r.failed = nil, own.err
	r.mu.Unlock()
	close(own.done)
	return own.err
}

// copyState returns the whole state as changes; the caller holds the lock.
func (r *Replica) copyState() []ledger.Change {
	meta := r.state.Meta()
	changes := make([]ledger.Change, 0, r.state.Len()+1)
	changes = append(changes, ledger.Change{Meta: &meta})
	for key, record := range r.state.Records {
		changes = append(changes, ledger.Change{Key: key, Record: record})
	}
	return changes
}

// startSnapshot writes a snapshot beside the commits that follow.
func (r *Replica) startSnapshot(changes []ledger.Change) error {
	number, err := r.storage.Rotate()
	if err != nil {
		return err
	}
	finished := make(chan error, 1)
	r.compacting = finished
	r.snapshots.Go(func() { finished <- r.storage.WriteSnapshot(number, changes) })
	return nil
}

// Copy returns the replica's meta and all of its records.
func (r *Replica) Copy() []ledger.Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.copyState()
}
