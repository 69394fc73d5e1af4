package durable

import (
	"os"
	"path/filepath"

	"github.com/pkg/errors"

	"peridotwinch.example/peridotwinch/api"
)

// WriteFile replaces a file at once by the parts of its content: after a crash it
// holds the old content or the new one. It creates the folder where it is missing.
func WriteFile(path string, parts ...[]byte) error {
	dir := filepath.Dir(path)
	if err := MakeFolder(dir); err != nil {
		return err
	}
	temporary := path + ".tmp"
	if err := writeSynced(temporary, parts); err != nil {
		return err
	}
	if err := os.Rename(temporary, path); err != nil {
		return errors.Wrap(err, "rename a file")
	}
	return SyncFolder(dir)
}

func writeSynced(path string, parts [][]byte) error {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o644)
	if err != nil {
		return errors.Wrap(err, "create a file")
	}
	defer func() { _ = file.Close() }()
	for _, part := range parts {
		if _, err := file.Write(part); err != nil {
			return errors.Wrap(err, "write a file")
		}
	}
	return errors.Wrap(file.Sync(), "sync a file")
}

// WriteRecord replaces a file by one record with its checksum. The payload comes
// in parts, so that a large one need not be copied together.
func WriteRecord(path string, parts ...[]byte) error {
	return WriteFile(path, append([][]byte{frameHeader(parts)}, parts...)...)
}

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
	payload, size, err := ReadFrame(raw)
	if err != nil || size != len(raw) {
		return nil, api.FieldErrorf(api.CodeDataDamaged, path, "the checksum does not match")
	}
	return payload, nil
}

// MakeFolder creates a folder durably, with its parents.
func MakeFolder(dir string) error {
	if _, err := os.Stat(dir); err == nil {
		return nil
	}
	parent := filepath.Dir(dir)
	if parent != dir {
		if err := MakeFolder(parent); err != nil {
			return err
		}
	}
	if err := os.Mkdir(dir, 0o755); err != nil && !os.IsExist(err) {
		return errors.Wrap(err, "make a data folder")
	}
	return SyncFolder(parent)
}

// SyncFolder makes the creation, renaming and removal of files in a folder durable.
func SyncFolder(dir string) error {
	folder, err := os.Open(dir)
	if err != nil {
		return errors.Wrap(err, "open a folder")
	}
	defer func() { _ = folder.Close() }()
	return errors.Wrapf(folder.Sync(), "sync %s", dir)
}
