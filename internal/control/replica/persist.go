package replica

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"peridotwinch.example/peridotwinch/internal/actor"
	"peridotwinch.example/peridotwinch/internal/consensus"
	"peridotwinch.example/peridotwinch/internal/durable"
)

// logWriteSeconds measures the writes of the log, each with its sync.
var logWriteSeconds = metrics.NewHistogram("peridotwinch_control_log_write_seconds")

// persist makes the hard state, the snapshot and the entries of ready durable, and restores
// the state machine from the snapshot.
func (r *Replica) persist(ctx context.Context, ready *consensus.Ready) error {
	if ready.Snapshot != nil {
		if err := r.installSnapshot(ctx, ready); err != nil {
			return err
		}
	}
	if ready.HardState == nil && len(ready.Entries) == 0 {
		return nil
	}
	started := time.Now()
	err := r.writeWithRetry(ctx, func() error { return r.disk.append(ready.HardState, ready.Entries) })
	r.reportSlowWrite(time.Since(started))
	return err
}

// reportSlowWrite logs a write of the log that took longer than the election timeout. The replica sends
// and handles nothing meanwhile: a leader may lose its leadership, and a follower is missing in the quorum.
func (r *Replica) reportSlowWrite(took time.Duration) {
	logWriteSeconds.Update(took.Seconds())
	limit := electionTicks * r.settings.Timeouts.Heartbeat() / ticksPerHeartbeatSetting
	if took > limit {
		r.log.Warn().Dur("took", took).Dur("electionTimeout", limit).Str("role", r.core.Status().Role.String()).Msg("slow write of the control log")
	}
}

// installSnapshot makes the snapshot of ready durable in place of the log, and restores the
// state machine from it.
func (r *Replica) installSnapshot(ctx context.Context, ready *consensus.Ready) error {
	if ready.HardState != nil {
		r.disk.hardState = *ready.HardState
	}
	if err := r.writeWithRetry(ctx, func() error { return r.disk.saveSnapshot(*ready.Snapshot, nil) }); err != nil {
		return err
	}
	if err := r.stateMachine.Restore(ready.Snapshot.Data); err != nil {
		return err
	}
	r.applied = ready.Snapshot.Index
	r.failProposals()
	return nil
}

// writeWithRetry calls write until the disk accepts it. Meanwhile the replica sends nothing,
// like one whose disk is stuck, because it must not acknowledge what it has not written. The
// process does not exit: a restart would not free space on the disk.
func (r *Replica) writeWithRetry(ctx context.Context, write func() error) error {
	for logged := false; ; logged = true {
		err := write()
		if !errors.Is(err, durable.ErrNotWritten) {
			return err
		}
		if !logged {
			r.log.Error().Err(err).Msg("control state not written; retrying until the disk accepts it")
		}
		if !actor.Sleep(ctx, fullDiskRetryDelay) {
			return err
		}
	}
}

// compact takes a snapshot and compacts the log if enough entries were applied since the
// last snapshot, or if the log has become too large. While the disk is full, the log keeps
// its entries, on disk and in memory.
func (r *Replica) compact() error {
	if !r.isCompactionDue() || time.Now().Before(r.compactAfter) {
		return nil
	}
	snapshot, ok := r.core.SnapshotAt(r.applied)
	if !ok {
		return nil
	}
	var err error
	if snapshot.Data, err = r.stateMachine.Snapshot(); err != nil {
		return err
	}
	err = r.disk.saveSnapshot(snapshot, r.core.EntriesAbove(snapshot.Index))
	if errors.Is(err, durable.ErrNotWritten) {
		r.compactAfter = time.Now().Add(snapshotRetryDelay)
		r.log.Warn().Err(err).Uint64("index", snapshot.Index).Msg("snapshot not written; retrying with a later entry")
		return nil
	}
	if err != nil {
		return err
	}
	r.core.Compact(snapshot, retainedEntries, retainedBytes)
	return nil
}

// isCompactionDue reports whether the entries since the last snapshot or the log's size
// require a new snapshot.
func (r *Replica) isCompactionDue() bool {
	maxLogBytes := max(minCompactLogBytes, maxLogToSnapshotRatio*r.disk.snapshotBytes)
	logTooLarge := r.disk.log.Size() > maxLogBytes && r.applied > r.core.SnapshotIndex()
	return logTooLarge || r.applied >= r.core.SnapshotIndex()+snapshotIntervalEntries
}
