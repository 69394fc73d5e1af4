package storage

import (
	"bufio"
	"os"

	"github.com/pkg/errors"

	"peridotwinch.example/peridotwinch/internal/durable"
	"peridotwinch.example/peridotwinch/internal/ledger"
)

// WriteSnapshot writes the state before log file number, durably, and removes
// the files that it replaces. It may run beside Append.
func (l *Log) WriteSnapshot(number uint64, changes []ledger.Change) error {
	path := l.path(number, snapshotSuffix)
	temporary := path + temporarySuffix
	if err := writeFrames(temporary, changes); err != nil {
		return err
	}
	if err := os.Rename(temporary, path); err != nil {
		return errors.Wrap(err, "rename a snapshot")
	}
	if err := durable.SyncFolder(l.dir); err != nil {
		return err
	}
	return l.removeBefore(number)
}

func writeFrames(path string, changes []ledger.Change) error {
	file, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "create a snapshot")
	}
	defer func() { _ = file.Close() }()
	writer := bufio.NewWriter(file)
	for len(changes) > 0 {
		count := min(len(changes), frameEntries)
		payload, err := encode(changes[:count])
		if err != nil {
			return err
		}
		if _, err := writer.Write(durable.AppendFrame(nil, payload)); err != nil {
			return errors.Wrap(err, "write a snapshot")
		}
		changes = changes[count:]
	}
	if _, err := writer.Write(durable.AppendFrame(nil, nil)); err != nil {
		return errors.Wrap(err, "write a snapshot")
	}
	if err := writer.Flush(); err != nil {
		return errors.Wrap(err, "write a snapshot")
	}
	return syncFile(file)
}
