package configwatch

import (
	"encoding/json"
	"os"

	"github.com/pkg/errors"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/catalog"
	"peridotwinch.example/peridotwinch/internal/durable"
	"peridotwinch.example/peridotwinch/internal/rpc/configpb"
)

// maxCacheRecords limits the records in the cache. Beyond it, a snapshot replaces
// them.
const maxCacheRecords = 256

// cache keeps the catalog on disk as a snapshot followed by changes.
type cache struct {
	log     *durable.Log
	records int
	// lacksChanges is set while the records lack changes that could not be written.
	lacksChanges bool
}

// cacheRecord holds the changes of a revision, or with Snapshot all resources.
type cacheRecord struct {
	Revision  uint64            `json:"revision"`
	Snapshot  bool              `json:"snapshot,omitempty"`
	Resources []json.RawMessage `json:"resources"`
}

// openCache opens the cache and returns it with the catalog that it holds. It
// replaces a damaged cache by an empty one, because the control replicas and the
// peers have the configuration too.
func openCache(path string) (*cache, *catalog.Catalog, error) {
	log, records, err := durable.OpenLog(path)
	if api.AsError(err).Code == api.CodeDataDamaged {
		_ = os.Remove(path)
		log, records, err = durable.OpenLog(path)
	}
	if err != nil {
		return nil, nil, err
	}
	current := catalog.Empty()
	for _, raw := range records {
		record := &cacheRecord{}
		if err := json.Unmarshal(raw, record); err != nil {
			return nil, nil, errors.Wrap(err, "decode a record of the configuration cache")
		}
		resources, err := configpb.DecodeAll(record.Resources)
		if err != nil {
			return nil, nil, err
		}
		current = current.Apply(record.Revision, record.Snapshot, resources)
	}
	return &cache{log: log, records: len(records)}, current, nil
}

// save writes the change to the next catalog to disk. It appends the changes, or
// replaces all records by a snapshot of next if the change is a snapshot, the
// cache has maxCacheRecords records, or the last write failed.
func (c *cache) save(next *catalog.Catalog, snapshot bool, changes []*api.Resource) error {
	err := c.write(next, snapshot || c.lacksChanges, changes)
	c.lacksChanges = err != nil
	return err
}

func (c *cache) write(next *catalog.Catalog, snapshot bool, changes []*api.Resource) error {
	c.records++
	record := &cacheRecord{Revision: next.Revision(), Snapshot: snapshot}
	replace := snapshot || c.records > maxCacheRecords
	var err error
	if replace {
		record.Snapshot, record.Resources = true, next.Resources()
	} else {
		record.Resources, err = configpb.EncodeAll(changes)
	}
	if err != nil {
		return err
	}
	raw, err := json.Marshal(record)
	if err != nil {
		return errors.Wrap(err, "encode a record of the configuration cache")
	}
	if replace {
		c.records = 1
		return c.log.Replace(raw)
	}
	return c.log.Append(raw)
}
