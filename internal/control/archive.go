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

// archiveBlock is how many changes a file of the archive holds. The store keeps
// several times as many, so that a block is complete in it long before it is
// dropped.
const archiveBlock = 1024

// archive keeps the audit trail on disk in files of a fixed number of changes.
// Block n holds the revisions from n*archiveBlock+1 on. Equal logs give equal
// files, so that a replica may take a block from another one. It is safe for
// concurrent use.
type archive struct{ dir string }

func (a *archive) path(block uint64) string {
	return filepath.Join(a.dir, fmt.Sprintf("%012d", block))
}

// blockOf returns the block that holds the change after a revision.
func blockOf(above uint64) uint64 { return above / archiveBlock }

func (a *archive) has(block uint64) bool {
	_, err := os.Stat(a.path(block))
	return err == nil
}

// first returns the first block from one on that the archive has below an end.
func (a *archive) first(from, end uint64) (block uint64, found bool) {
	for block := from; block < end; block++ {
		if a.has(block) {
			return block, true
		}
	}
	return 0, false
}

// save writes a block unless its changes are not exactly those of the block.
func (a *archive) save(block uint64, changes []*keptChange) error {
	if err := checkBlock(block, changes); err != nil {
		return err
	}
	raw, err := json.Marshal(changes)
	if err != nil {
		return errors.Wrap(err, "encode a block of the audit trail")
	}
	return durable.WriteRecord(a.path(block), raw)
}

func checkBlock(block uint64, changes []*keptChange) error {
	if len(changes) != archiveBlock {
		return errors.Errorf("%d changes in a block of the audit trail", len(changes))
	}
	for i, change := range changes {
		if change == nil || change.Revision != block*archiveBlock+uint64(i)+1 {
			return errors.Errorf("change %d is not one of block %d of the audit trail", i, block)
		}
	}
	return nil
}

// load returns the changes of a block, CodeRevisionGone where the archive lacks
// it and CodeDataDamaged where its file is damaged.
func (a *archive) load(block uint64) ([]*keptChange, error) {
	raw, err := a.read(block)
	if err != nil {
		return nil, err
	}
	return decodeBlock(raw)
}

// read returns the encoding of a block.
func (a *archive) read(block uint64) ([]byte, error) {
	raw, err := durable.ReadRecord(a.path(block))
	if err == nil && raw == nil {
		return nil, api.FieldErrorf(api.CodeRevisionGone, "revision",
			"changes %d to %d are not kept here", block*archiveBlock+1, (block+1)*archiveBlock)
	}
	return raw, err
}

func decodeBlock(raw []byte) ([]*keptChange, error) {
	var changes []*keptChange
	err := json.Unmarshal(raw, &changes)
	return changes, errors.Wrap(err, "decode a block of the audit trail")
}

// above returns the changes of a block that lie above a revision.
func above(changes []*keptChange, revision uint64) []*keptChange {
	i := slices.IndexFunc(changes, func(c *keptChange) bool { return c.Revision > revision })
	if i < 0 {
		return nil
	}
	return changes[i:]
}
