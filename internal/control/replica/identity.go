package replica

import (
	"encoding/json"
	"math/rand/v2"

	"github.com/pkg/errors"

	"peridotwinch.example/peridotwinch/internal/consensus"
	"peridotwinch.example/peridotwinch/internal/durable"
)

// identity identifies a replica for the lifetime of its disk. A replica that lost its disk
// generates a new ID and never votes under the old one again: it no longer has the votes
// and entries that it acknowledged.
type identity struct {
	// Replica is 0 until the ID is durable.
	Replica consensus.ReplicaID `json:"replica"`
	// Group is empty until the replica has joined a group.
	Group string `json:"group,omitempty"`
	// Initial is the membership at index 0; it is empty for a replica that joined later.
	Initial consensus.Membership `json:"initial"`
}

// loadIdentity reads the identity; it returns one without an ID if the directory is empty. A
// log without an identity, or an identity with a group but without a log, means that a file
// was lost; loadIdentity then returns an error with api.CodeDataDamaged.
func (d *disk) loadIdentity() (identity, error) {
	id := identity{}
	raw, err := durable.ReadRecord(d.path(identityFile))
	if err != nil {
		return id, err
	}
	if raw == nil {
		if d.hasLog() {
			return id, d.damagedError(identityFile, "the file is missing, but the log exists")
		}
		return id, nil
	}
	if err := json.Unmarshal(raw, &id); err != nil {
		return id, d.damagedError(identityFile, "%v", err)
	}
	if id.Group != "" && !d.hasLog() {
		return id, d.damagedError(logFile, "the file is missing, but the identity names a group")
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

// joinGroup durably records that the replica belongs to the group of id. It creates the
// log before it stores the identity, so that an identity with a group but without a log
// always means that the log was lost.
func (d *disk) joinGroup(id identity) error {
	if !d.hasLog() {
		if err := durable.WriteFile(d.path(logFile), nil); err != nil {
			return err
		}
	}
	return d.saveIdentity(id)
}

// newReplicaID returns a random 64-bit ID, so that no two replicas have the same one. It is
// never 0, which means no replica.
func newReplicaID() consensus.ReplicaID {
	for {
		if id := consensus.ReplicaID(rand.Uint64()); id != 0 {
			return id
		}
	}
}
