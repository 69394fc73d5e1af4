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

// maxCacheRecords bounds the changes in the cache before it is written anew.
const maxCacheRecords = 256

// cache keeps the catalog on disk as a snapshot and the changes after it.
type cache struct {
	log     *durable.Log
	records int
}

// cacheRecord is a step from one revision to the next.
type cacheRecord struct {
	Revision  uint64            `json:"revision"`
	Snapshot  bool              `json:"snapshot,omitempty"`
	Resources []json.RawMessage `json:"resources"`
}

// openCache returns the cache and the catalog in it. A damaged cache is begun
// anew: control and the peers have the configuration.
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
			return nil, nil, errors.Wrap(err, "decode a cached change")
		}
		resources, err := configpb.DecodeAll(record.Resources)
		if err != nil {
			return nil, nil, err
		}
		current = current.Apply(record.Revision, record.Snapshot, resources)
	}
	return &cache{log: log, records: len(records)}, current, nil
}

// save makes a step to the next catalog durable.
func (c *cache) save(next *catalog.Catalog, snapshot bool, changes []*api.Resource) error {
	c.records++
	record := &cacheRecord{Revision: next.Revision(), Snapshot: snapshot}
	whole := snapshot || c.records > maxCacheRecords
	var err error
	if whole {
		record.Snapshot, record.Resources = true, next.Resources()
	} else {
		record.Resources, err = configpb.EncodeAll(changes)
	}
	if err != nil {
		return err
	}
	raw, err := json.Marshal(record)
	if err != nil {
		return errors.Wrap(err, "encode a cached change")
	}
	if whole {
		c.records = 1
		return c.log.Replace(raw)
	}
	return c.log.Append(raw)
}
