// Package durable keeps state in files that survive a crash at any moment.
package durable

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"

	"github.com/pkg/errors"

	"peridotwinch.example/peridotwinch/api"
)

// headerBytes is the size of a record's header: the length of the payload, the
// checksum of the length, the checksum of the payload.
const headerBytes = 12

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Log is an append-only file of records, each with its own checksum. It is not
// safe for concurrent use.
type Log struct {
	path string
	file *os.File
	size int64
}

// OpenLog opens or creates a log and returns its records. A torn last record,
// which no caller was told of, is cut off; an earlier damaged one gives
// CodeDataDamaged with the file's name.
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
	records, whole, err := decode(path, raw)
	if err != nil {
		return nil, nil, err
	}
	l := &Log{path: path, size: int64(whole)}
	if err := l.open(); err != nil {
		return nil, nil, err
	}
	if whole < len(raw) {
		return l, records, l.cut()
	}
	return l, records, nil
}

func (l *Log) open() error {
	file, err := os.OpenFile(l.path, os.O_WRONLY, 0)
	if err != nil {
		return errors.Wrap(err, "open a log")
	}
	if _, err := file.Seek(l.size, io.SeekStart); err != nil {
		return errors.Wrap(err, "find the end of a log")
	}
	l.file = file
	return nil
}

func (l *Log) cut() error {
	if err := l.file.Truncate(l.size); err != nil {
		return errors.Wrap(err, "cut a torn record")
	}
	return errors.Wrap(l.file.Sync(), "sync a log")
}

// decode returns the whole records and their length in bytes.
func decode(path string, raw []byte) (records [][]byte, whole int, err error) {
	for whole < len(raw) {
		rest := raw[whole:]
		payload, state := decodeOne(rest)
		switch state {
		case recordTorn:
			return records, whole, nil
		case recordDamaged:
			return nil, 0, api.FieldErrorf(api.CodeDataDamaged, path, "the record at byte %d is damaged", whole)
		}
		records = append(records, payload)
		whole += headerBytes + len(payload)
	}
	return records, whole, nil
}

type recordState int

const (
	recordWhole recordState = iota
	recordTorn
	recordDamaged
)

func decodeOne(rest []byte) ([]byte, recordState) {
	if len(rest) < headerBytes || isZero(rest) {
		return nil, recordTorn
	}
	length := int(binary.LittleEndian.Uint32(rest))
	if crc32.Checksum(rest[:4], castagnoli) != binary.LittleEndian.Uint32(rest[4:]) {
		return nil, recordDamaged
	}
	if length > len(rest)-headerBytes {
		return nil, recordTorn
	}
	payload := rest[headerBytes : headerBytes+length]
	if crc32.Checksum(payload, castagnoli) == binary.LittleEndian.Uint32(rest[8:]) {
		return bytes.Clone(payload), recordWhole
	}
	if length == len(rest)-headerBytes {
		return nil, recordTorn
	}
	return nil, recordDamaged
}

func isZero(raw []byte) bool {
	for _, b := range raw {
		if b != 0 {
			return false
		}
	}
	return true
}

func encode(payload []byte) []byte {
	out := make([]byte, headerBytes, headerBytes+len(payload))
	binary.LittleEndian.PutUint32(out, uint32(len(payload)))
	binary.LittleEndian.PutUint32(out[4:], crc32.Checksum(out[:4], castagnoli))
	binary.LittleEndian.PutUint32(out[8:], crc32.Checksum(payload, castagnoli))
	return append(out, payload...)
}

// Append writes one record and syncs it.
func (l *Log) Append(payload []byte) error {
	record := encode(payload)
	if _, err := l.file.Write(record); err != nil {
		return errors.Wrap(err, "append to a log")
	}
	l.size += int64(len(record))
	return errors.Wrap(l.file.Sync(), "sync a log")
}

// Replace puts one record in the place of all, at once.
func (l *Log) Replace(payload []byte) error {
	record := encode(payload)
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

// WriteFile replaces a file at once: after a crash it holds the old content or
// the new one. It creates the folder where it is missing.
func WriteFile(path string, content []byte) error {
	dir := filepath.Dir(path)
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errors.Wrap(err, "make a folder")
	}
	temporary := path + ".tmp"
	if err := writeSynced(temporary, content); err != nil {
		return err
	}
	if err := os.Rename(temporary, path); err != nil {
		return errors.Wrap(err, "rename a file")
	}
	return syncFolder(dir)
}

func writeSynced(path string, content []byte) error {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o644)
	if err != nil {
		return errors.Wrap(err, "create a file")
	}
	defer func() { _ = file.Close() }()
	if _, err := file.Write(content); err != nil {
		return errors.Wrap(err, "write a file")
	}
	return errors.Wrap(file.Sync(), "sync a file")
}

func syncFolder(path string) error {
	dir, err := os.Open(path)
	if err != nil {
		return errors.Wrap(err, "open a folder")
	}
	defer func() { _ = dir.Close() }()
	return errors.Wrap(dir.Sync(), "sync a folder")
}

// WriteRecord replaces a file by one record with its checksum.
func WriteRecord(path string, payload []byte) error { return WriteFile(path, encode(payload)) }

// ReadRecord reads a file that WriteRecord wrote. A missing file gives nil; a
// damaged one gives CodeDataDamaged with the file's name.
func ReadRecord(path string) ([]byte, error) {
	raw, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "read a file")
	}
	payload, state := decodeOne(raw)
	if state != recordWhole || headerBytes+len(payload) != len(raw) {
		return nil, api.FieldErrorf(api.CodeDataDamaged, path, "the checksum does not match")
	}
	return payload, nil
}
