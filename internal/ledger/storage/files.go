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

// Suffixes of the folder's files.
const (
	logSuffix       = ".log"
	snapshotSuffix  = ".snapshot"
	temporarySuffix = ".tmp"
)

func fileName(number uint64, suffix string) string { return fmt.Sprintf("%016d%s", number, suffix) }

// listing holds the numbers of a folder's files in ascending order.
type listing struct {
	logs      []uint64
	snapshots []uint64
}

// list reads the folder and removes what an interrupted snapshot left.
func list(dir string) (listing, error) {
	out := listing{}
	entries, err := os.ReadDir(dir)
	if err != nil {
		return out, errors.Wrap(err, "read the data folder")
	}
	for _, entry := range entries {
		name := entry.Name()
		suffix := filepath.Ext(name)
		if suffix == temporarySuffix {
			if err := os.Remove(filepath.Join(dir, name)); err != nil {
				return out, errors.Wrap(err, "remove a temporary file")
			}
			continue
		}
		number, err := strconv.ParseUint(strings.TrimSuffix(name, suffix), 10, 64)
		if err != nil {
			continue
		}
		switch suffix {
		case logSuffix:
			out.logs = append(out.logs, number)
		case snapshotSuffix:
			out.snapshots = append(out.snapshots, number)
		}
	}
	slices.Sort(out.logs)
	slices.Sort(out.snapshots)
	return out, nil
}
