// Package durable stores state in files that stay consistent if the process or the
// host crashes at any time.
package durable

import (
	"bytes"
	"io"
	"os"
	"path/filepath"

	"github.com/pkg/errors"

	"peridotwinch.example/peridotwinch/api"
)

// Log is a write-ahead log: an append-only file of records, each with its own checksum.
// It is not safe for concurrent use.
type Log struct {
	path string
	file file
	// size is the length of the valid records in bytes.
	size int64
	// hasTail is set while the file may have bytes after the valid records.
	hasTail bool
	// isRenamed is set while the directory entry of the file may not be durable.
	isRenamed bool
}

// OpenLog opens or creates a log and returns its records. It ignores a torn last record,
// since Append has not reported it as written to any caller. It syncs the file and its
// directory: a process that was killed before its own sync leaves records that a power loss
// would remove. For a damaged record before the last one it returns an error with
// api.CodeDataDamaged that names the file.
func OpenLog(path string) (*Log, [][]byte, error) {
	if _, err := os.Stat(path); os.IsNotExist(err) {
		if err := WriteFile(path, nil); err != nil {
			return nil, nil, err
		}
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, errors.Wrap(err, "read a log")
	}
	records, validBytes, err := decode(path, raw)
	if err != nil {
		return nil, nil, err
	}
	l, err := OpenLogAt(path, int64(validBytes))
	return l, records, err
}

// OpenLogAt opens a log whose records the caller has read; they end at size bytes. It syncs
// the file and its directory like OpenLog, and ignores the bytes after size.
func OpenLogAt(path string, size int64) (*Log, error) {
	file, err := openFile(path, os.O_WRONLY)
	if err != nil {
		return nil, errors.Wrap(err, "open a log")
	}
	l := &Log{path: path, file: file, size: size, hasTail: true, isRenamed: true}
	if err := l.makeDurable(); err != nil {
		_ = file.Close()
		return nil, err
	}
	return l, nil
}

// CreateLog creates an empty log in place of any file. Its directory entry becomes durable
// with the first record.
func CreateLog(path string) (*Log, error) {
	file, err := replaceFile(path, nil)
	if err != nil {
		return nil, notWritten(err)
	}
	return &Log{path: path, file: file, isRenamed: true}, nil
}

// makeDurable syncs the file and its directory, and seeks to the end of the records.
func (l *Log) makeDurable() error {
	end, err := l.file.Seek(0, io.SeekEnd)
	if err != nil {
		return errors.Wrap(err, "seek to the end of a log")
	}
	l.hasTail = end > l.size
	if _, err := l.file.Seek(l.size, io.SeekStart); err != nil {
		return errors.Wrap(err, "seek to the end of a log")
	}
	if err := l.file.Sync(); err != nil {
		return errors.Wrap(err, "sync a log")
	}
	return l.syncName()
}

// syncName makes the directory entry of the file durable.
func (l *Log) syncName() error {
	if err := SyncDir(filepath.Dir(l.path)); err != nil {
		return err
	}
	l.isRenamed = false
	return nil
}

// removeTail removes the bytes after the valid records: a torn record, or one that could
// not be synced. The sync keeps a part of it from returning after a power loss.
func (l *Log) removeTail() error {
	if err := l.file.Truncate(l.size); err != nil {
		return errors.Wrap(err, "truncate a log after its last record")
	}
	if _, err := l.file.Seek(l.size, io.SeekStart); err != nil {
		return errors.Wrap(err, "seek to the end of a log")
	}
	if err := l.file.Sync(); err != nil {
		return errors.Wrap(err, "sync a log")
	}
	l.hasTail = false
	return nil
}

// decode returns the valid records at the start of raw and their total size in bytes.
// The bytes after them are a torn write, unless another valid record follows: then the
// file is damaged and decode returns an error with api.CodeDataDamaged.
func decode(path string, raw []byte) (records [][]byte, validBytes int, err error) {
	for validBytes < len(raw) {
		payload, size, err := ReadFrame(raw[validBytes:])
		if err != nil {
			break
		}
		records = append(records, bytes.Clone(payload))
		validBytes += size
	}
	if validBytes < len(raw) && ContainsFrame(raw[validBytes+1:]) {
		return nil, 0, api.FieldErrorf(api.CodeDataDamaged, path, "the record at byte %d is damaged", validBytes)
	}
	return records, validBytes, nil
}

// Append writes one record and syncs it. After ErrNotWritten the log has the same records
// as before, and the call may be repeated.
func (l *Log) Append(payload []byte) error {
	if err := l.finishRepair(); err != nil {
		return notWritten(err)
	}
	record := AppendFrame(nil, payload)
	l.hasTail = true
	_, err := l.file.Write(record)
	if err == nil {
		err = l.file.Sync()
	}
	if err == nil {
		l.size += int64(len(record))
		l.hasTail = false
		return nil
	}
	if tailErr := l.removeTail(); tailErr != nil {
		err = errors.Wrapf(err, "the next append repeats this: %v", tailErr)
	}
	return notWritten(errors.Wrap(err, "append to a log"))
}

// finishRepair does what earlier calls could not do on a faulty disk.
func (l *Log) finishRepair() error {
	if l.isRenamed {
		if err := l.syncName(); err != nil {
			return err
		}
	}
	if l.hasTail {
		return l.removeTail()
	}
	return nil
}

// Replace atomically replaces all records by one record. After ErrNotWritten the log holds
// either the old records or the new one, and the call may be repeated.
func (l *Log) Replace(payload []byte) error {
	record := AppendFrame(nil, payload)
	replacement, err := replaceFile(l.path, [][]byte{record})
	if err != nil {
		return notWritten(err)
	}
	_ = l.file.Close()
	l.file, l.size, l.hasTail, l.isRenamed = replacement, int64(len(record)), false, true
	if err := l.syncName(); err != nil {
		return notWritten(err)
	}
	return nil
}

// Size returns the length of the file in bytes.
func (l *Log) Size() int64 { return l.size }

// Close closes the file.
func (l *Log) Close() error { return errors.Wrap(l.file.Close(), "close a log") }
