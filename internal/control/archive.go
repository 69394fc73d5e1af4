package control

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"github.com/pkg/errors"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/durable"
)

// archiveBlockChanges is the number of changes in a file of the archive. The store
// retains several times as many, so that a block is complete in the store long before
// the store drops its changes.
const archiveBlockChanges = 1024

// archive keeps the audit trail on disk in files of archiveBlockChanges changes each.
// The first revision of block n is n*archiveBlockChanges+1. Equal logs result in equal
// files, so a replica may copy a block from another replica. archive is safe for concurrent
// use.
type archive struct{ dir string }

func (a *archive) path(block uint64) string {
	return filepath.Join(a.dir, fmt.Sprintf("%012d", block))
}

// blockOf returns the number of the block that holds the change after revision.
func blockOf(revision uint64) uint64 { return revision / archiveBlockChanges }

func (a *archive) has(block uint64) bool {
	_, err := os.Stat(a.path(block))
	return err == nil
}

// first returns the first block in the range from <= block < end that the archive has.
func (a *archive) first(from, end uint64) (block uint64, found bool) {
	for block := from; block < end; block++ {
		if a.has(block) {
			return block, true
		}
	}
	return 0, false
}

// save writes a block. It returns an error if changes are not exactly the changes of the
// block.
func (a *archive) save(block uint64, changes []*encodedChange) error {
	if err := checkBlock(block, changes); err != nil {
		return err
	}
	raw, err := json.Marshal(changes)
	if err != nil {
		return errors.Wrap(err, "encode a block of the audit trail")
	}
	return durable.WriteRecord(a.path(block), raw)
}

func checkBlock(block uint64, changes []*encodedChange) error {
	if len(changes) != archiveBlockChanges {
		return errors.Errorf("a block of the audit trail has %d changes", len(changes))
	}
	for i, change := range changes {
		if change == nil || change.Revision != block*archiveBlockChanges+uint64(i)+1 {
			return errors.Errorf("change %d is missing from block %d of the audit trail or has another revision", i, block)
		}
	}
	return nil
}

// load returns the changes of a block. The error has CodeRevisionGone if the archive
// lacks the block and CodeDataDamaged if its file is damaged.
func (a *archive) load(block uint64) ([]*encodedChange, error) {
	raw, err := a.read(block)
	if err != nil {
		return nil, err
	}
	return decodeBlock(raw)
}

// read returns the encoded block, with the errors of load for a missing or damaged file.
func (a *archive) read(block uint64) ([]byte, error) {
	raw, err := durable.ReadRecord(a.path(block))
	if err == nil && raw == nil {
		return nil, api.FieldErrorf(api.CodeRevisionGone, "revision",
			"this control replica does not retain changes %d to %d", block*archiveBlockChanges+1, (block+1)*archiveBlockChanges)
	}
	return raw, err
}

func decodeBlock(raw []byte) ([]*encodedChange, error) {
	var changes []*encodedChange
	err := json.Unmarshal(raw, &changes)
	return changes, errors.Wrap(err, "decode a block of the audit trail")
}

// filterAbove returns the changes with a revision above the given one. changes is in
// ascending order of revisions.
func filterAbove(changes []*encodedChange, revision uint64) []*encodedChange {
	i := slices.IndexFunc(changes, func(c *encodedChange) bool { return c.Revision > revision })
	if i < 0 {
		return nil
	}
	return changes[i:]
}
