package storage

import (
	"os"

	"github.com/pkg/errors"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/durable"
	"peridotwinch.example/peridotwinch/internal/ledger"
)

// firstNumber is the number of a folder's first log file.
const firstNumber uint64 = 1

func (l *Log) load(apply func(ledger.Change)) error {
	files, err := list(l.dir)
	if err != nil {
		return err
	}
	if len(files.logs) == 0 && len(files.snapshots) == 0 {
		return l.create(firstNumber)
	}
	first := firstNumber
	if n := len(files.snapshots); n > 0 {
		first = files.snapshots[n-1]
		if err := l.loadSnapshot(first, apply); err != nil {
			return err
		}
	}
	if err := l.loadLogs(first, files.logs, apply); err != nil {
		return err
	}
	return l.removeBefore(first)
}

// loadLogs replays the log files from first on and opens the last one.
func (l *Log) loadLogs(first uint64, numbers []uint64, apply func(ledger.Change)) error {
	next := first
	for i, number := range numbers {
		if number < first {
			continue
		}
		if number != next {
			return l.missing(next)
		}
		next++
		if err := l.loadLog(number, i == len(numbers)-1, apply); err != nil {
			return err
		}
	}
	if next == first {
		return l.missing(first)
	}
	return nil
}

func (l *Log) missing(number uint64) error {
	return damaged(l.path(number, logSuffix), "the file is missing")
}

func (l *Log) loadLog(number uint64, newest bool, apply func(ledger.Change)) error {
	path := l.path(number, logSuffix)
	raw, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read a log file")
	}
	whole, err := replay(path, raw, apply)
	if err != nil {
		return err
	}
	if whole < len(raw) && (!newest || durable.HoldsFrame(raw[whole+1:])) {
		return damaged(path, "a record before the last one, at byte %d", whole)
	}
	if !newest {
		return nil
	}
	return l.reopen(number, int64(whole), whole < len(raw))
}

// reopen opens the newest log file for appending after its whole frames.
func (l *Log) reopen(number uint64, size int64, torn bool) error {
	file, err := os.OpenFile(l.path(number, logSuffix), os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return errors.Wrap(err, "open the log")
	}
	l.file, l.number, l.size = file, number, size
	if !torn {
		return nil
	}
	if err := file.Truncate(size); err != nil {
		return errors.Wrap(err, "cut a torn record")
	}
	return errors.Wrap(file.Sync(), "sync the log")
}

func (l *Log) loadSnapshot(number uint64, apply func(ledger.Change)) error {
	path := l.path(number, snapshotSuffix)
	raw, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read a snapshot")
	}
	whole, err := replay(path, raw, apply)
	if err != nil {
		return err
	}
	if whole < len(raw) {
		return damaged(path, "a record at byte %d", whole)
	}
	end := durable.AppendFrame(nil, nil)
	if len(raw) < len(end) || string(raw[len(raw)-len(end):]) != string(end) {
		return damaged(path, "the end is missing")
	}
	return nil
}

// replay applies the whole frames at the start of raw and returns their size.
func replay(path string, raw []byte, apply func(ledger.Change)) (int, error) {
	at := 0
	for at < len(raw) {
		payload, size, err := durable.ReadFrame(raw[at:])
		if err != nil {
			return at, nil
		}
		if err := decode(payload, apply); err != nil {
			return at, damaged(path, "a record at byte %d: %v", at, err)
		}
		at += size
	}
	return at, nil
}

func damaged(path, format string, args ...any) error {
	return api.FieldErrorf(api.CodeDataDamaged, path, format, args...)
}

// removeBefore removes the files that a snapshot has replaced.
func (l *Log) removeBefore(first uint64) error {
	files, err := list(l.dir)
	if err != nil {
		return err
	}
	if err := l.removeAll(files.logs, logSuffix, first); err != nil {
		return err
	}
	return l.removeAll(files.snapshots, snapshotSuffix, first)
}

func (l *Log) removeAll(numbers []uint64, suffix string, before uint64) error {
	for _, number := range numbers {
		if number >= before {
			continue
		}
		if err := os.Remove(l.path(number, suffix)); err != nil {
			return errors.Wrap(err, "remove a replaced file")
		}
	}
	return nil
}
