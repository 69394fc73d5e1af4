// Package storage keeps the durable state of a ledger replica in one directory: a
// write-ahead log of numbered segments, and snapshots. The snapshot N.snapshot
// holds the state before the first entry in the segment N.log.
package storage

import (
	"path/filepath"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"peridotwinch.example/peridotwinch/internal/durable"
	"peridotwinch.example/peridotwinch/internal/ledger"
	"peridotwinch.example/peridotwinch/internal/ledger/wire"
	"peridotwinch.example/peridotwinch/internal/rpc/ledgerpb"
)

// maxFrameEntries is the maximum number of entries in one frame.
const maxFrameEntries = 4096

// Log is a write-ahead log that appends entries to its newest segment. It is not
// safe for concurrent use, except for WriteSnapshot.
type Log struct {
	dir string
	// segment is the newest segment, number its number.
	segment *durable.Log
	number  uint64
}

// Open replays the newest snapshot and the segments from its number on, in order,
// through apply, and opens the log for appending. It creates dir if missing.
// Open truncates a torn write at the end of the newest segment. For any other
// damage it returns an api.Error with CodeDataDamaged that names the file.
func Open(dir string, apply func(ledger.Entry)) (*Log, error) {
	if err := durable.CreateDir(dir); err != nil {
		return nil, err
	}
	l := &Log{dir: dir}
	if err := l.load(apply); err != nil {
		return nil, err
	}
	return l, nil
}

// Append writes entries and returns once they are durable. After durable.ErrNotWritten some
// of them may be durable, and the call may be repeated: entries replace earlier ones.
func (l *Log) Append(entries []ledger.Entry) error {
	for len(entries) > 0 {
		count := min(len(entries), maxFrameEntries)
		payload, err := encodeEntries(entries[:count])
		if err != nil {
			return err
		}
		if err := l.segment.Append(payload); err != nil {
			return err
		}
		entries = entries[count:]
	}
	return nil
}

// Size returns the size of the newest segment in bytes.
func (l *Log) Size() int64 { return l.segment.Size() }

// Rotate starts a new segment and returns its number. The snapshot of the state before that
// segment has the same number. After durable.ErrNotWritten the log remains usable, but has
// no segment at whose start a snapshot may be taken.
func (l *Log) Rotate() (uint64, error) {
	previous := l.segment
	if err := l.createSegment(l.number + 1); err != nil {
		return 0, err
	}
	if err := previous.Close(); err != nil {
		return 0, err
	}
	return l.number, durable.SyncDir(l.dir)
}

// createSegment creates the segment with the given number and makes it the newest one.
func (l *Log) createSegment(number uint64) error {
	segment, err := durable.CreateLog(l.path(number, segmentSuffix))
	if err != nil {
		return err
	}
	l.segment, l.number = segment, number
	return nil
}

// Close closes the newest segment.
func (l *Log) Close() error { return l.segment.Close() }

func (l *Log) path(number uint64, suffix string) string {
	return filepath.Join(l.dir, fileName(number, suffix))
}

func encodeEntries(entries []ledger.Entry) ([]byte, error) {
	batch := &ledgerpb.Batch{Entries: make([]*ledgerpb.Entry, len(entries))}
	for i, entry := range entries {
		batch.Entries[i] = wire.FromEntry(entry)
	}
	payload, err := proto.Marshal(batch)
	return payload, errors.Wrap(err, "encode log entries")
}

// applyPayload decodes the payload of a frame and applies its entries in order.
func applyPayload(payload []byte, apply func(ledger.Entry)) error {
	batch := &ledgerpb.Batch{}
	if err := proto.Unmarshal(payload, batch); err != nil {
		return errors.Wrap(err, "decode log entries")
	}
	for _, message := range batch.Entries {
		entry, err := wire.ToEntry(message)
		if err != nil {
			return err
		}
		apply(entry)
	}
	return nil
}
