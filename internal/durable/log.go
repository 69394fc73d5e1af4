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
	size int64
}

// OpenLog opens or creates a log and returns its records. It truncates a torn last
// record, since Append has not reported it as written to any caller. It syncs the file and
// its directory: a process that was killed before its own sync leaves records that a power
// loss would remove. For a damaged record before the last one it returns an error with
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
	l := &Log{path: path, size: int64(validBytes)}
	if err := l.open(); err != nil {
		return nil, nil, err
	}
	if validBytes < len(raw) {
		if err := l.truncate(); err != nil {
			return nil, nil, err
		}
	}
	if err := l.file.Sync(); err != nil {
		return nil, nil, errors.Wrap(err, "sync a log")
	}
	return l, records, SyncDir(filepath.Dir(path))
}

// open opens the file for writing at its end.
func (l *Log) open() error {
	file, err := openFile(l.path, os.O_WRONLY)
	if err != nil {
		return errors.Wrap(err, "open a log")
	}
	if _, err := file.Seek(l.size, io.SeekStart); err != nil {
		return errors.Wrap(err, "seek to the end of a log")
	}
	l.file = file
	return nil
}

// truncate removes a torn record after the last valid one.
func (l *Log) truncate() error {
	return errors.Wrap(l.file.Truncate(l.size), "truncate a torn record")
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

// ErrNotWritten reports that a record could not be written, for example because the disk
// is full. The log is unchanged, and the record may be appended again.
var ErrNotWritten = errors.New("the record was not written and the log is unchanged")

// Append writes one record and syncs it. After any error other than ErrNotWritten the
// end of the file is undefined, and the log must not be used any more.
func (l *Log) Append(payload []byte) error {
	record := AppendFrame(nil, payload)
	if _, err := l.file.Write(record); err != nil {
		return l.rollBack(err)
	}
	l.size += int64(len(record))
	return errors.Wrap(l.file.Sync(), "sync a log")
}

// rollBack truncates the partial record that a failed write left behind. It returns
// ErrNotWritten if that succeeds.
func (l *Log) rollBack(cause error) error {
	if err := l.file.Truncate(l.size); err != nil {
		return errors.Wrapf(cause, "append to a log; truncating the partial record failed (%v)", err)
	}
	if _, err := l.file.Seek(l.size, io.SeekStart); err != nil {
		return errors.Wrapf(cause, "append to a log; seeking back to its end failed (%v)", err)
	}
	return errors.Wrap(ErrNotWritten, cause.Error())
}

// Replace atomically replaces all records by one record.
func (l *Log) Replace(payload []byte) error {
	record := AppendFrame(nil, payload)
	if err := WriteFile(l.path, record); err != nil {
		return err
	}
	_ = l.file.Close()
	l.size = int64(len(record))
	return l.open()
}

// Size returns the length of the file in bytes.
func (l *Log) Size() int64 { return l.size }

// Close closes the file.
func (l *Log) Close() error { return errors.Wrap(l.file.Close(), "close a log") }
