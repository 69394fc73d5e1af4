// Package storage keeps the durable state of a replica: numbered log files and
// snapshots in one folder. File N.snapshot holds everything before N.log.
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

// frameEntries bounds the changes of one frame.
const frameEntries = 4096

// Log appends changes to the newest log file. It is not safe for concurrent use.
type Log struct {
	dir    string
	file   *os.File
	number uint64
	size   int64
	failed error
}

// Open replays the folder's state through apply, in order, and opens the log
// for appending. A torn end of the newest file is cut. It returns an api.Error
// with CodeDataDamaged that names the file when anything else is damaged.
func Open(dir string, apply func(ledger.Change)) (*Log, error) {
	if err := durable.MakeFolder(dir); err != nil {
		return nil, err
	}
	l := &Log{dir: dir}
	if err := l.load(apply); err != nil {
		return nil, err
	}
	return l, nil
}

// Append writes changes and returns once they are durable. After an error the
// log takes nothing more.
func (l *Log) Append(changes []ledger.Change) error {
	if l.failed != nil {
		return l.failed
	}
	for len(changes) > 0 {
		count := min(len(changes), frameEntries)
		if l.failed = l.appendFrame(changes[:count]); l.failed != nil {
			return l.failed
		}
		changes = changes[count:]
	}
	return nil
}

func (l *Log) appendFrame(changes []ledger.Change) error {
	payload, err := encode(changes)
	if err != nil {
		return err
	}
	frame := durable.AppendFrame(nil, payload)
	if _, err := l.file.Write(frame); err != nil {
		return errors.Wrap(err, "write the log")
	}
	l.size += int64(len(frame))
	return syncFile(l.file)
}

// syncFile makes what was written to a file durable.
func syncFile(file *os.File) error {
	return errors.Wrapf(file.Sync(), "sync %s", file.Name())
}

// Size returns the size of the newest log file in bytes.
func (l *Log) Size() int64 { return l.size }

// Rotate starts a new log file and returns its number, which the snapshot of
// everything before it takes.
func (l *Log) Rotate() (uint64, error) {
	if l.failed != nil {
		return 0, l.failed
	}
	old := l.file
	if l.failed = l.create(l.number + 1); l.failed != nil {
		return 0, l.failed
	}
	return l.number, errors.Wrap(old.Close(), "close the log")
}

func (l *Log) create(number uint64) error {
	file, err := os.OpenFile(l.path(number, logSuffix), os.O_CREATE|os.O_EXCL|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return errors.Wrap(err, "create a log file")
	}
	l.file, l.number, l.size = file, number, 0
	return durable.SyncFolder(l.dir)
}

// Close closes the newest file.
func (l *Log) Close() error { return l.file.Close() }

func (l *Log) path(number uint64, suffix string) string {
	return filepath.Join(l.dir, fileName(number, suffix))
}

func encode(changes []ledger.Change) ([]byte, error) {
	batch := &ledgerpb.Batch{Entries: make([]*ledgerpb.Entry, len(changes))}
	for i, change := range changes {
		batch.Entries[i] = wire.FromChange(change)
	}
	payload, err := proto.Marshal(batch)
	return payload, errors.Wrap(err, "encode changes")
}

func decode(payload []byte, apply func(ledger.Change)) error {
	batch := &ledgerpb.Batch{}
	if err := proto.Unmarshal(payload, batch); err != nil {
		return errors.Wrap(err, "decode changes")
	}
	for _, entry := range batch.Entries {
		change, err := wire.ToChange(entry)
		if err != nil {
			return err
		}
		apply(change)
	}
	return nil
}
