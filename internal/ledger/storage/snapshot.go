package storage

import (
	"bufio"
	"os"

	"github.com/pkg/errors"

	"peridotwinch.example/peridotwinch/internal/durable"
	"peridotwinch.example/peridotwinch/internal/ledger"
)

// WriteSnapshot durably writes the state before the segment with the given
// number, and removes the segments and snapshots that it replaces. The snapshot
// gets its final name only when it is complete and synced. WriteSnapshot may run
// concurrently with Append. After an error the log still holds the whole state.
func (l *Log) WriteSnapshot(number uint64, entries []ledger.Entry) error {
	path := l.path(number, snapshotSuffix)
	temporary := path + temporarySuffix
	err := writeSnapshotFile(temporary, entries)
	if err == nil {
		err = errors.Wrap(os.Rename(temporary, path), "rename a snapshot")
	}
	if err != nil {
		if removeErr := os.Remove(temporary); removeErr != nil && !os.IsNotExist(removeErr) {
			err = errors.Wrapf(err, "removing the temporary file failed (%v)", removeErr)
		}
		return err
	}
	if err := durable.SyncDir(l.dir); err != nil {
		return err
	}
	return l.removeObsolete(number)
}

// writeSnapshotFile writes entries as frames, followed by an empty frame that marks
// the end of the snapshot, and syncs the file.
func writeSnapshotFile(path string, entries []ledger.Entry) error {
	file, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "create a snapshot")
	}
	defer func() { _ = file.Close() }()
	writer := bufio.NewWriter(file)
	for len(entries) > 0 {
		count := min(len(entries), maxFrameEntries)
		payload, err := encodeEntries(entries[:count])
		if err != nil {
			return err
		}
		if _, err := writer.Write(durable.AppendFrame(nil, payload)); err != nil {
			return errors.Wrap(err, "write a snapshot")
		}
		entries = entries[count:]
	}
	if _, err := writer.Write(durable.AppendFrame(nil, nil)); err != nil {
		return errors.Wrap(err, "write a snapshot")
	}
	if err := writer.Flush(); err != nil {
		return errors.Wrap(err, "write a snapshot")
	}
	return errors.Wrap(file.Sync(), "sync a snapshot")
}
