package api

import "time"

// Verb is the operation of a write.
type Verb string

// Verbs of writes.
const (
	VerbPut    Verb = "put"
	VerbDelete Verb = "delete"
	// VerbReplace replaces the whole route table.
	VerbReplace Verb = "replace"
	// VerbEvacuate orders that no further requests are sent to the servers of a failure domain,
	// VerbReinstate withdraws that order.
	VerbEvacuate  Verb = "evacuate"
	VerbReinstate Verb = "reinstate"
)

// Change is one accepted write in the audit trail.
type Change struct {
	Revision  uint64    `json:"revision"`
	Time      time.Time `json:"time"`
	Operator  string    `json:"operator"`
	RequestID string    `json:"requestId"`
	Verb      Verb      `json:"verb"`
	// Before is the resource before the write, nil if the write created it.
	Before *Resource `json:"before,omitempty"`
	// After is the resource after the write, with Deleted set if the write deleted it.
	After *Resource `json:"after"`
}

// ChangeList is a page of the audit trail in ascending order of revision.
type ChangeList struct {
	Revision uint64    `json:"revision"`
	Items    []*Change `json:"items"`
	// Evacuations are the evacuation orders, in the output of the audit command only; they have
	// revisions of their own.
	Evacuations []EvacuationChange `json:"evacuations,omitempty"`
}

// EventType is the type of a watch event.
type EventType string

// Types of watch events.
const (
	// EventChange carries a resource as written at the event's revision.
	EventChange EventType = "change"
	// EventStatus reports that a change came into force or failed.
	EventStatus EventType = "status"
	// EventHeartbeat reports that the watch has sent all changes up to its revision.
	EventHeartbeat EventType = "heartbeat"
	// EventError ends a watch. The client may watch again from the last revision received.
	EventError EventType = "error"
)

// Event is a watch event, sent as one line of JSON.
type Event struct {
	Type     EventType `json:"type"`
	Revision uint64    `json:"revision"`
	Resource *Resource `json:"resource,omitempty"`
	Error    *Error    `json:"error,omitempty"`
}

// ReplicaStatus describes a member of the control group.
type ReplicaStatus struct {
	ID       uint64 `json:"id"`
	Instance string `json:"instance"`
	Learner  bool   `json:"learner,omitempty"`
	Leader   bool   `json:"leader,omitempty"`
}

// ControlStatus is the status that a control instance reports of itself and its group.
type ControlStatus struct {
	Instance string `json:"instance"`
	Replica  uint64 `json:"replica"`
	Group    string `json:"group"`
	// Current is true if the replica is in contact with a leader that has a quorum.
	Current bool `json:"current"`
	// Removed is true if the group has replaced this replica.
	Removed       bool            `json:"removed,omitempty"`
	Revision      uint64          `json:"revision"`
	Applied       uint64          `json:"applied"`
	SnapshotIndex uint64          `json:"snapshotIndex"`
	LogBytes      int64           `json:"logBytes"`
	SnapshotBytes int64           `json:"snapshotBytes"`
	Replicas      []ReplicaStatus `json:"replicas"`
	Routers       []RouterStatus  `json:"routers"`
	// EvacuatedDomains are the failure domains whose servers receive no further requests.
	EvacuatedDomains []string `json:"evacuatedDomains,omitempty"`
	// Followers summarizes the routers that follow this instance through the fleet stream; nil
	// if the daemons do not join by seeds.
	Followers *FollowerStatus `json:"followers,omitempty"`
}

// FollowerStatus summarizes the routers that follow a control instance, directly or through
// other routers.
type FollowerStatus struct {
	// Routers is the number of all these routers, Direct of those that the instance itself
	// streams to.
	Routers int `json:"routers"`
	Direct  int `json:"direct"`
	// Generation is the generation of the route table at the instance, and LowestGeneration
	// the lowest one among the routers.
	Generation       uint64 `json:"generation"`
	LowestGeneration uint64 `json:"lowestGeneration"`
	// LowestRouter is a router with the lowest generation, LowestPath the RPC addresses from
	// the instance to that router.
	LowestRouter string   `json:"lowestRouter,omitempty"`
	LowestPath   []string `json:"lowestPath,omitempty"`
}

// RouterStatus is the last status of a router that control received.
type RouterStatus struct {
	Instance      string `json:"instance"`
	FailureDomain string `json:"failureDomain"`
	Revision      uint64 `json:"revision"`
	// Heard is false if the router has no live lease.
	Heard bool `json:"heard"`
}
