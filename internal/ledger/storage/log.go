// Package storage keeps the durable state of a ledger replica in one directory: a
// write-ahead log of numbered segments, and snapshots. The snapshot N.snapshot
// holds the state before the first entry in the segment N.log.
package storage

import (
	"os"
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
	// file is the newest segment.
	file *os.File
	// number is the number of the newest segment, size its length in bytes.
	number uint64
	size   int64
	// failed is the first write error. The log rejects all writes after it.
	failed error
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

// Append writes entries and returns once they are durable. After an error, all
// later calls of Append and Rotate return that error.
func (l *Log) Append(entries []ledger.Entry) error {
	if l.failed != nil {
		return l.failed
	}
	for len(entries) > 0 {
		count := min(len(entries), maxFrameEntries)
		if l.failed = l.appendFrame(entries[:count]); l.failed != nil {
			return l.failed
		}
		entries = entries[count:]
	}
	return nil
}

// appendFrame writes entries as one frame and syncs the segment.
func (l *Log) appendFrame(entries []ledger.Entry) error {
	payload, err := encodeEntries(entries)
	if err != nil {
		return err
	}
	frame := durable.AppendFrame(nil, payload)
	if _, err := l.file.Write(frame); err != nil {
		return errors.Wrap(err, "write a log segment")
	}
	l.size += int64(len(frame))
	return syncFile(l.file)
}

// syncFile makes all data written to a file durable.
func syncFile(file *os.File) error {
	return errors.Wrapf(file.Sync(), "sync %s", file.Name())
}

// Size returns the size of the newest segment in bytes.
func (l *Log) Size() int64 { return l.size }

// Rotate starts a new segment and returns its number. The snapshot of the state
// before that segment has the same number.
func (l *Log) Rotate() (uint64, error) {
	if l.failed != nil {
		return 0, l.failed
	}
	previous := l.file
	if l.failed = l.createSegment(l.number + 1); l.failed != nil {
		return 0, l.failed
	}
	return l.number, errors.Wrap(previous.Close(), "close the previous log segment")
}

// createSegment creates the segment with the given number and makes it the newest one.
func (l *Log) createSegment(number uint64) error {
	file, err := os.OpenFile(l.path(number, segmentSuffix), os.O_CREATE|os.O_EXCL|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return errors.Wrap(err, "create a log segment")
	}
	l.file, l.number, l.size = file, number, 0
	return durable.SyncDir(l.dir)
}

// Close closes the newest segment.
func (l *Log) Close() error { return l.file.Close() }

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
