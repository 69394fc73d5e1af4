package storage

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// File name suffixes in the data directory.
const (
	segmentSuffix   = ".log"
	snapshotSuffix  = ".snapshot"
	temporarySuffix = ".tmp"
)

func fileName(number uint64, suffix string) string { return fmt.Sprintf("%016d%s", number, suffix) }

// directoryFiles holds the numbers of the segments and snapshots in a data
// directory, in ascending order.
type directoryFiles struct {
	segments  []uint64
	snapshots []uint64
}

// listFiles returns the numbered files in dir. It removes temporary files, which
// an interrupted snapshot leaves behind, and ignores all other files.
func listFiles(dir string) (directoryFiles, error) {
	files := directoryFiles{}
	entries, err := os.ReadDir(dir)
	if err != nil {
		return files, errors.Wrap(err, "read the data directory")
	}
	for _, entry := range entries {
		name := entry.Name()
		suffix := filepath.Ext(name)
		if suffix == temporarySuffix {
			if err := os.Remove(filepath.Join(dir, name)); err != nil {
				return files, errors.Wrap(err, "remove a temporary file")
			}
			continue
		}
		number, err := strconv.ParseUint(strings.TrimSuffix(name, suffix), 10, 64)
		if err != nil {
			continue
		}
		switch suffix {
		case segmentSuffix:
			files.segments = append(files.segments, number)
		case snapshotSuffix:
			files.snapshots = append(files.snapshots, number)
		}
	}
	slices.Sort(files.segments)
	slices.Sort(files.snapshots)
	return files, nil
}
