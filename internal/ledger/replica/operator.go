package replica

import (
	"context"

	"peridotwinch.example/peridotwinch/internal/ledger"
	"peridotwinch.example/peridotwinch/internal/ledger/wire"
	"peridotwinch.example/peridotwinch/internal/settings"
)

// MemberStatus is the status that a replica of a group reports, or the error of the
// request for it.
type MemberStatus struct {
	Instance   string `json:"instance"`
	Address    string `json:"address"`
	Phase      string `json:"phase"`
	Generation uint64 `json:"generation"`
	Epoch      uint64 `json:"epoch"`
	Records    uint64 `json:"records"`
	// Since is the epoch of the member list that the replica has installed.
	Since   uint64   `json:"since"`
	Members []string `json:"members"`
	// Member reports whether the instance is in the newest member list that any of
	// the replicas has installed.
	Member bool `json:"member"`
	// Pending is the member list that the replica has accepted but not yet installed.
	Pending []string `json:"pending,omitempty"`
	Error   string   `json:"error,omitempty"`
}

// Operator runs an operator's commands on the members of a group.
type Operator struct {
	group     ledger.GroupID
	formation ledger.Formation
	clients   *clientCache
	// members are the members in the settings.
	members []member
}

// NewOperator returns an Operator for a group. It contacts the peers in the settings
// first and finds the other members through their member lists.
func NewOperator(s *settings.Settings, group ledger.GroupID) *Operator {
	o := &Operator{group: group, formation: configuredFormation(s, group), clients: newClientCache(s)}
	for _, instance := range o.formation.List.Members {
		if m, ok := o.clients.lookup(o.formation.List, instance); ok {
			o.members = append(o.members, m)
		}
	}
	return o
}

// Status returns the status of the instances in the settings and in the member lists
// that they report.
func (o *Operator) Status(ctx context.Context) []MemberStatus {
	results := o.queryMembers(ctx)
	newest, found := ledger.InstalledList(metasByInstance(results))
	if !found {
		newest = o.formation.List
	}
	statuses := make([]MemberStatus, len(results))
	for i, result := range results {
		statuses[i] = toMemberStatus(result)
		statuses[i].Member = newest.Has(statuses[i].Instance)
	}
	return statuses
}

// toMemberStatus returns the member status of a status result.
func toMemberStatus(result statusResult) MemberStatus {
	status := MemberStatus{Instance: result.member.instance, Address: result.member.client.Address()}
	if result.err != nil {
		status.Error = result.err.Error()
		return status
	}
	meta := wire.ToMeta(result.status.Meta)
	status.Phase, status.Generation, status.Epoch = meta.Phase.String(), meta.Generation, meta.Epoch
	status.Records = result.status.Records
	status.Since, status.Members = meta.ListEpoch, meta.Members
	if meta.Pending != nil {
		status.Phase, status.Pending = "changing", meta.Pending.Members
	}
	return status
}

// queryMembers requests the status of the instances in the settings and of those in
// the member lists that they report.
func (o *Operator) queryMembers(ctx context.Context) []statusResult {
	results := queryStatus(ctx, o.group, o.members)
	for _, list := range reportedLists(metasByInstance(results)) {
		results = append(results, queryStatus(ctx, o.group, o.unqueriedMembers(list, results))...)
	}
	return results
}

// unqueriedMembers returns the members of a list that have no result in queried.
func (o *Operator) unqueriedMembers(list ledger.MemberList, queried []statusResult) []member {
	names := make(map[string]bool)
	for _, result := range queried {
		names[result.member.instance] = true
	}
	var unqueried []member
	for _, instance := range list.Members {
		if m, ok := o.clients.lookup(list, instance); ok && !names[instance] {
			unqueried = append(unqueried, m)
		}
	}
	return unqueried
}

// reportedLists returns the newest member list that an active member has
// installed, and all pending lists.
func reportedLists(metas map[string]ledger.Meta) []ledger.MemberList {
	var lists []ledger.MemberList
	if newest, found := ledger.InstalledList(metas); found {
		lists = append(lists, newest)
	}
	for _, meta := range metas {
		if meta.Pending != nil {
			lists = append(lists, *meta.Pending)
		}
	}
	return lists
}

// metasByInstance returns the metadata in the results without an error.
func metasByInstance(results []statusResult) map[string]ledger.Meta {
	metas := make(map[string]ledger.Meta)
	for _, result := range results {
		if result.err == nil {
			metas[result.member.instance] = wire.ToMeta(result.status.Meta)
		}
	}
	return metas
}
