package durable

import (
	"io"
	"os"
	"path/filepath"

	"github.com/pkg/errors"

	"peridotwinch.example/peridotwinch/api"
)

// file is the part of os.File through which the package writes.
type file interface {
	io.Writer
	io.Seeker
	io.Closer
	Truncate(size int64) error
	Sync() error
}

// openFile opens a file or, to sync it, a directory. Tests replace it by a faulty disk.
var openFile = func(path string, flag int) (file, error) { return os.OpenFile(path, flag, 0o644) }

// WriteFile atomically and durably replaces a file by the concatenated parts: after a
// crash it holds either the old or the new content. It creates missing directories.
func WriteFile(path string, parts ...[]byte) error {
	dir := filepath.Dir(path)
	if err := CreateDir(dir); err != nil {
		return err
	}
	temporary := path + ".tmp"
	if err := writeSynced(temporary, parts); err != nil {
		return err
	}
	if err := os.Rename(temporary, path); err != nil {
		return errors.Wrap(err, "rename the temporary file")
	}
	return SyncDir(dir)
}

// writeSynced writes the parts to a file and syncs it.
func writeSynced(path string, parts [][]byte) error {
	file, err := openFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY)
	if err != nil {
		return errors.Wrap(err, "create the temporary file")
	}
	defer func() { _ = file.Close() }()
	for _, part := range parts {
		if _, err := file.Write(part); err != nil {
			return errors.Wrap(err, "write the temporary file")
		}
	}
	return errors.Wrap(file.Sync(), "sync the temporary file")
}

// WriteRecord atomically replaces a file by one record with a checksum. The payload is
// passed in parts to avoid copying a large payload into one buffer.
func WriteRecord(path string, parts ...[]byte) error {
	return WriteFile(path, append([][]byte{frameHeader(parts)}, parts...)...)
}

// ReadRecord returns the payload of a file that WriteRecord wrote, or nil if the file
// does not exist. For a damaged file it returns an error with api.CodeDataDamaged that
// names the file.
func ReadRecord(path string) ([]byte, error) {
	raw, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "read a record file")
	}
	payload, size, err := ReadFrame(raw)
	if err != nil || size != len(raw) {
		return nil, api.FieldErrorf(api.CodeDataDamaged, path, "the checksum does not match")
	}
	return payload, nil
}

// CreateDir durably creates a directory and its missing parents.
func CreateDir(dir string) error {
	if _, err := os.Stat(dir); err == nil {
		return nil
	}
	parent := filepath.Dir(dir)
	if parent != dir {
		if err := CreateDir(parent); err != nil {
			return err
		}
	}
	if err := os.Mkdir(dir, 0o755); err != nil && !os.IsExist(err) {
		return errors.Wrap(err, "create a data directory")
	}
	return SyncDir(parent)
}

// SyncDir makes the creation, renaming and removal of files in a directory durable.
func SyncDir(dir string) error {
	handle, err := openFile(dir, os.O_RDONLY)
	if err != nil {
		return errors.Wrap(err, "open a directory")
	}
	defer func() { _ = handle.Close() }()
	return errors.Wrapf(handle.Sync(), "sync directory %s", dir)
}
