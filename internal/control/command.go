package control

import (
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/evacuation"
	"peridotwinch.example/peridotwinch/internal/routetable"
)

// Command is a write in the replicated log. It carries all values that would otherwise
// differ between replicas, such as the time and the UID of a new resource.
type Command struct {
	Verb            api.Verb        `json:"verb"`
	RequestID       string          `json:"requestId"`
	Operator        string          `json:"operator"`
	Time            time.Time       `json:"time"`
	UID             string          `json:"uid,omitempty"`
	Kind            api.Kind        `json:"kind"`
	Ref             api.Ref         `json:"ref"`
	Names           api.Names       `json:"names,omitempty"`
	Spec            json.RawMessage `json:"spec,omitempty"`
	ResourceVersion uint64          `json:"resourceVersion,omitempty"`
	// RouteTable is set for VerbReplace only.
	RouteTable *routetable.Document `json:"routeTable,omitempty"`
	// Evacuation is set for VerbEvacuate and VerbReinstate only.
	Evacuation *evacuation.Order `json:"evacuation,omitempty"`
}

// newCommand returns a command with the current time and a UID for a resource that it
// creates. It generates a request ID if requestID is empty.
func newCommand(verb api.Verb, requestID, operator string) *Command {
	if requestID == "" {
		requestID = uuid.NewString()
	}
	return &Command{
		Verb: verb, RequestID: requestID, Operator: operator,
		Time: time.Now().UTC().Truncate(time.Millisecond), UID: uuid.NewString(),
	}
}

// digest returns a hash of the requested write. It excludes operator, time and UID, so that
// a retry has the digest of the first attempt.
func (c *Command) digest() uint64 {
	content := *c
	content.Operator, content.Time, content.UID = "", time.Time{}, ""
	raw, err := json.Marshal(&content)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(raw)
}

// Outcome is the result of a command. A retry with the same request ID returns the outcome
// of the first attempt. Outcomes, with the texts of their errors, are replicated state.
type Outcome struct {
	RequestID string `json:"requestId"`
	Digest    uint64 `json:"digest"`
	// Revision is the revision of the change, or zero if the command was rejected.
	Revision uint64        `json:"revision,omitempty"`
	Resource *api.Resource `json:"resource,omitempty"`
	Error    *api.Error    `json:"error,omitempty"`
}

func decodeOutcome(raw []byte) (*Outcome, error) {
	outcome := &Outcome{}
	if err := json.Unmarshal(raw, outcome); err != nil {
		return nil, errors.Wrap(err, "decode the outcome of a command")
	}
	return outcome, nil
}
