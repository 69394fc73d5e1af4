package replica

import (
	"encoding/json"
	"math/rand/v2"

	"github.com/pkg/errors"

	"peridotwinch.example/peridotwinch/internal/consensus"
	"peridotwinch.example/peridotwinch/internal/durable"
)

// identity says who a replica is. It lasts as long as the disk: a replica that
// lost its disk draws a new ID and never votes again under the old one.
type identity struct {
	Replica consensus.ReplicaID `json:"replica"`
	// Group is empty until the replica belongs to a group.
	Group string `json:"group,omitempty"`
	// Initial is the membership at index 0; empty for a replica that joined later.
	Initial consensus.Membership `json:"initial"`
}

// loadIdentity reads the identity, or draws a new one for an empty folder.
func (d *disk) loadIdentity() (identity, error) {
	id := identity{}
	raw, err := durable.ReadRecord(d.path(identityFile))
	if err != nil {
		return id, err
	}
	if raw == nil {
		if d.exists() {
			return id, d.damaged(identityFile, "missing beside a log")
		}
		id.Replica = newReplicaID()
		return id, d.saveIdentity(id)
	}
	if err := json.Unmarshal(raw, &id); err != nil {
		return id, d.damaged(identityFile, "%v", err)
	}
	if id.Group != "" && !d.exists() {
		return id, d.damaged(logFile, "missing beside an identity")
	}
	return id, nil
}

func (d *disk) saveIdentity(id identity) error {
	raw, err := json.Marshal(id)
	if err != nil {
		return errors.Wrap(err, "encode the identity")
	}
	return durable.WriteRecord(d.path(identityFile), raw)
}

// joinGroup makes the membership of a group durable; the log comes first, so
// that a group without a log is always damage.
func (d *disk) joinGroup(id identity) error {
	if !d.exists() {
		if err := durable.WriteFile(d.path(logFile), nil); err != nil {
			return err
		}
	}
	return d.saveIdentity(id)
}

// newReplicaID draws an ID that no replica has had before.
func newReplicaID() consensus.ReplicaID {
	for {
		if id := consensus.ReplicaID(rand.Uint64()); id != 0 {
			return id
		}
	}
}
