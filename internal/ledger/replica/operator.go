package replica

import (
	"context"

	"peridotwinch.example/peridotwinch/internal/ledger"
	"peridotwinch.example/peridotwinch/internal/ledger/wire"
	"peridotwinch.example/peridotwinch/internal/settings"
)

// MemberStatus is what a replica of a group says of itself.
type MemberStatus struct {
	Instance   string `json:"instance"`
	Address    string `json:"address"`
	Phase      string `json:"phase"`
	Generation uint64 `json:"generation"`
	Epoch      uint64 `json:"epoch"`
	Records    uint64 `json:"records"`
	// Since is the epoch of the member list that the replica follows.
	Since   uint64   `json:"since"`
	Members []string `json:"members"`
	// Member says whether the instance is in the newest list that any of the
	// replicas follows.
	Member bool `json:"member"`
	// Pending is a member list that the replica has accepted and does not follow yet.
	Pending []string `json:"pending,omitempty"`
	Error   string   `json:"error,omitempty"`
}

// Operator reaches all members of a group on an operator's behalf.
type Operator struct {
	group     ledger.GroupID
	formation ledger.Formation
	directory *directory
	// members are those that the settings name.
	members []member
}

// NewOperator returns an operator of a group; the settings' peers are where it
// begins to look for the members.
func NewOperator(s *settings.Settings, group ledger.GroupID) *Operator {
	o := &Operator{group: group, formation: formationOf(s, group), directory: newDirectory(s)}
	for _, instance := range o.formation.List.Members {
		if one, ok := o.directory.reach(o.formation.List, instance); ok {
			o.members = append(o.members, one)
		}
	}
	return o
}

// Status returns the status of the instances that the settings or the group's
// newest list name.
func (o *Operator) Status(ctx context.Context) []MemberStatus {
	responses := o.survey(ctx)
	newest, found := ledger.Followed(metasOf(responses))
	if !found {
		newest = o.formation.List
	}
	out := make([]MemberStatus, len(responses))
	for i, one := range responses {
		out[i] = statusOf(one)
		out[i].Member = newest.Has(out[i].Instance)
	}
	return out
}

func statusOf(one response) MemberStatus {
	out := MemberStatus{Instance: one.member.instance, Address: one.member.client.Address()}
	if one.err != nil {
		out.Error = one.err.Error()
		return out
	}
	meta := wire.ToMeta(one.status.Meta)
	out.Phase, out.Generation, out.Epoch = meta.Phase.String(), meta.Generation, meta.Epoch
	out.Records = one.status.Records
	out.Since, out.Members = meta.Since, meta.Members
	if meta.Pending != nil {
		out.Phase, out.Pending = "changing", meta.Pending.Members
	}
	return out
}

// survey asks the instances of the settings and those that their answers name.
func (o *Operator) survey(ctx context.Context) []response {
	responses := askAll(ctx, o.group, o.members)
	for _, list := range listsOf(metasOf(responses)) {
		responses = append(responses, askAll(ctx, o.group, o.unasked(list, responses))...)
	}
	return responses
}

func (o *Operator) unasked(list ledger.MemberList, asked []response) []member {
	names := make(map[string]bool)
	for _, one := range asked {
		names[one.member.instance] = true
	}
	var out []member
	for _, instance := range list.Members {
		if one, ok := o.directory.reach(list, instance); ok && !names[instance] {
			out = append(out, one)
		}
	}
	return out
}

// listsOf returns the newest list that is followed and all that are pending.
func listsOf(metas map[string]ledger.Meta) []ledger.MemberList {
	var out []ledger.MemberList
	if newest, found := ledger.Followed(metas); found {
		out = append(out, newest)
	}
	for _, meta := range metas {
		if meta.Pending != nil {
			out = append(out, *meta.Pending)
		}
	}
	return out
}

func metasOf(responses []response) map[string]ledger.Meta {
	out := make(map[string]ledger.Meta)
	for _, one := range responses {
		if one.err == nil {
			out[one.member.instance] = wire.ToMeta(one.status.Meta)
		}
	}
	return out
}
