package durable

import (
	"io"
	"os"
	"path/filepath"

	"github.com/pkg/errors"

	"peridotwinch.example/peridotwinch/api"
)

// ErrNotWritten reports that data could not be made durable, for example because the disk is
// full. The call may be repeated.
var ErrNotWritten = errors.New("the data is not durable")

// notWritten returns ErrNotWritten with the cause in its message.
func notWritten(cause error) error { return errors.Wrap(ErrNotWritten, cause.Error()) }

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
// crash it holds either the old or the new content. It creates missing directories. After
// ErrNotWritten the file has either content, too, and no temporary file takes up space.
func WriteFile(path string, parts ...[]byte) error {
	if err := CreateDir(filepath.Dir(path)); err != nil {
		return notWritten(err)
	}
	written, err := replaceFile(path, parts)
	if err != nil {
		return notWritten(err)
	}
	if err := written.Close(); err != nil {
		return notWritten(err)
	}
	if err := SyncDir(filepath.Dir(path)); err != nil {
		return notWritten(err)
	}
	return nil
}

// replaceFile replaces a file by the concatenated parts and returns it open at its end. The
// content is durable, but not the directory entry. After an error the file is unchanged.
func replaceFile(path string, parts [][]byte) (file, error) {
	temporary := path + ".tmp"
	written, err := openFile(temporary, os.O_CREATE|os.O_TRUNC|os.O_WRONLY)
	if err != nil {
		return nil, errors.Wrap(err, "create the temporary file")
	}
	err = writeSynced(written, parts)
	if err == nil {
		err = errors.Wrap(os.Rename(temporary, path), "rename the temporary file")
	}
	if err == nil {
		return written, nil
	}
	_ = written.Close()
	if removeErr := os.Remove(temporary); removeErr != nil {
		return nil, errors.Wrapf(err, "removing the temporary file failed (%v)", removeErr)
	}
	return nil, err
}

// writeSynced writes the parts to a file and syncs it.
func writeSynced(file file, parts [][]byte) error {
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
