package storage

import (
	"os"

	"github.com/pkg/errors"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/durable"
	"peridotwinch.example/peridotwinch/internal/ledger"
)

// firstSegment is the number of the first segment in a new directory.
const firstSegment uint64 = 1

// load replays the newest snapshot and the segments from its number on, opens the
// newest segment, and removes the files that the snapshot replaces. Opening the segment makes
// the name of the snapshot durable, too.
func (l *Log) load(apply func(ledger.Entry)) error {
	files, err := listFiles(l.dir)
	if err != nil {
		return err
	}
	if len(files.segments) == 0 && len(files.snapshots) == 0 {
		return l.createSegment(firstSegment)
	}
	first := firstSegment
	if n := len(files.snapshots); n > 0 {
		first = files.snapshots[n-1]
		if err := l.loadSnapshot(first, apply); err != nil {
			return err
		}
	}
	if err := l.loadSegments(first, files.segments, apply); err != nil {
		return err
	}
	return l.removeObsolete(first)
}

// loadSegments replays the segments from first on and opens the last one. The
// numbers of the segments must have no gaps.
func (l *Log) loadSegments(first uint64, numbers []uint64, apply func(ledger.Entry)) error {
	next := first
	for i, number := range numbers {
		if number < first {
			continue
		}
		if number != next {
			return l.missingSegmentError(next)
		}
		next++
		if err := l.loadSegment(number, i == len(numbers)-1, apply); err != nil {
			return err
		}
	}
	if next == first {
		return l.missingSegmentError(first)
	}
	return nil
}

func (l *Log) missingSegmentError(number uint64) error {
	return damagedError(l.path(number, segmentSuffix), "the log segment is missing")
}

// loadSegment replays one segment and, if it is the newest one, opens it for
// appending. Only the newest segment may end in a damaged frame, and only if no
// valid frame follows: that is a torn write. Any other damage could lose durable
// entries and is an error.
func (l *Log) loadSegment(number uint64, newest bool, apply func(ledger.Entry)) error {
	path := l.path(number, segmentSuffix)
	raw, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read a log segment")
	}
	validBytes, err := replay(path, raw, apply)
	if err != nil {
		return err
	}
	if validBytes < len(raw) && (!newest || durable.ContainsFrame(raw[validBytes+1:])) {
		return damagedError(path, "the frame at byte %d is damaged and is not the last one of the log", validBytes)
	}
	if !newest {
		return nil
	}
	l.number = number
	l.segment, err = durable.OpenLogAt(path, int64(validBytes))
	return err
}

// loadSnapshot replays a snapshot. A valid snapshot ends with an empty frame; one
// without it is incomplete.
func (l *Log) loadSnapshot(number uint64, apply func(ledger.Entry)) error {
	path := l.path(number, snapshotSuffix)
	raw, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read a snapshot")
	}
	validBytes, err := replay(path, raw, apply)
	if err != nil {
		return err
	}
	if validBytes < len(raw) {
		return damagedError(path, "the frame at byte %d is damaged", validBytes)
	}
	endFrame := durable.AppendFrame(nil, nil)
	if len(raw) < len(endFrame) || string(raw[len(raw)-len(endFrame):]) != string(endFrame) {
		return damagedError(path, "the snapshot is incomplete: its end frame is missing")
	}
	return nil
}

// replay applies the frames at the start of raw up to the first damaged one, and
// returns their size in bytes.
func replay(path string, raw []byte, apply func(ledger.Entry)) (int, error) {
	offset := 0
	for offset < len(raw) {
		payload, size, err := durable.ReadFrame(raw[offset:])
		if err != nil {
			return offset, nil
		}
		if err := applyPayload(payload, apply); err != nil {
			return offset, damagedError(path, "the frame at byte %d cannot be decoded: %v", offset, err)
		}
		offset += size
	}
	return offset, nil
}

// damagedError returns an api.Error with CodeDataDamaged for a file.
func damagedError(path, format string, args ...any) error {
	return api.FieldErrorf(api.CodeDataDamaged, path, format, args...)
}

// removeObsolete removes the segments and snapshots with numbers below first,
// which the snapshot first replaces.
func (l *Log) removeObsolete(first uint64) error {
	files, err := listFiles(l.dir)
	if err != nil {
		return err
	}
	if err := l.removeFiles(files.segments, segmentSuffix, first); err != nil {
		return err
	}
	return l.removeFiles(files.snapshots, snapshotSuffix, first)
}

// removeFiles removes the files with numbers below before.
func (l *Log) removeFiles(numbers []uint64, suffix string, before uint64) error {
	for _, number := range numbers {
		if number >= before {
			continue
		}
		if err := os.Remove(l.path(number, suffix)); err != nil {
			return errors.Wrap(err, "remove an obsolete file")
		}
	}
	return nil
}
