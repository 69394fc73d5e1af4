package replica

import (
	"context"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"peridotwinch.example/peridotwinch/internal/actor"
	"peridotwinch.example/peridotwinch/internal/consensus"
	"peridotwinch.example/peridotwinch/internal/rpc/consensuspb"
	"peridotwinch.example/peridotwinch/internal/settings"
)

// instanceName returns the name under which the group lists this replica's instance: the
// address with seeds, otherwise the instance of the settings.
func (r *Replica) instanceName() string { return r.transport.instance }

// AddSeeds adds addresses of instances that may run a control replica.
func (r *Replica) AddSeeds(addresses []string) {
	r.transport.mu.Lock()
	defer r.transport.mu.Unlock()
	for _, address := range addresses {
		r.transport.addPeer(settings.Peer{Instance: address, Address: address})
	}
}

// recordGroupMember records an instance from which this one receives messages of a group, although it
// belongs to none: the group does not know yet that this instance has lost its disk. Its seeds may all
// have been replaced since.
func (r *Replica) recordGroupMember(group, instance string) {
	if group == "" || r.transport.currentGroup() != "" || !r.transport.usesSeeds {
		return
	}
	if _, err := netip.ParseAddrPort(instance); err == nil {
		r.AddSeeds([]string{instance})
	}
}

// isBootstrapSeed reports whether this replica is one of the seeds that form the group at
// the first start of the whole system.
func (r *Replica) isBootstrapSeed() bool {
	join := r.settings.Join
	return join != nil && join.Bootstrap && slices.Contains(r.settings.ControlAddresses(), r.instanceName())
}

// bootstrapIdentity returns the identity of a seed at the first start. Each seed derives
// the same group from the seeds' addresses, so that the group is formed without messages.
func bootstrapIdentity(addresses []string, own string) identity {
	id := identity{Replica: seedReplicaID(own), Group: "seeds " + strings.Join(addresses, " ")}
	members := make([]consensus.Member, 0, len(addresses))
	for _, address := range addresses {
		members = append(members, consensus.Member{ID: seedReplicaID(address), Instance: address})
	}
	id.Initial = consensus.NewMembership(members...)
	return id
}

// seedReplicaID returns a hash of the address; the lowest bit is set so that it is never 0.
func seedReplicaID(address string) consensus.ReplicaID {
	return consensus.ReplicaID(xxhash.Sum64String(address) | 1)
}

// adjustMembership proposes the membership change that is due, and reports whether there is one. It may
// have to be proposed again, as long as the one before is not committed.
func (r *Replica) adjustMembership(now time.Time) bool {
	r.recordInactivity(now)
	change, ok := nextChange(r.core.Membership(), groupView{
		isCaughtUp:  r.core.IsCaughtUp,
		inactiveFor: func(id consensus.ReplicaID) time.Duration { return r.inactiveFor(id, now) },
		maxVoters:   r.settings.Join.MaxVoters(),
		leader:      r.identity.Replica,
	})
	if !ok {
		return false
	}
	if err := r.core.ProposeChange(change); err != nil {
		r.log.Debug().Err(err).Msg("control group membership change not proposed yet")
		return true
	}
	r.log.Info().Str("peer", change.Member.Instance).Str("domain", change.Member.Domain).Stringer("change", change.Type).
		Msg("control group membership change proposed")
	return true
}

// recordInactivity updates the time since which each inactive member has been inactive.
func (r *Replica) recordInactivity(now time.Time) {
	inactiveSince := make(map[consensus.ReplicaID]time.Time)
	for _, member := range r.core.Membership().Members {
		if r.core.IsActive(member.ID) {
			continue
		}
		inactiveSince[member.ID] = now
		if since, ok := r.inactiveSince[member.ID]; ok {
			inactiveSince[member.ID] = since
		}
	}
	r.inactiveSince = inactiveSince
}

// inactiveFor returns how long a member has been inactive, or 0 if it is active.
func (r *Replica) inactiveFor(id consensus.ReplicaID, now time.Time) time.Duration {
	since, ok := r.inactiveSince[id]
	if !ok {
		return 0
	}
	return now.Sub(since)
}

// missingDomains returns the failure domains of members for which the membership has none, as far as
// the instances have told them.
func (r *Replica) missingDomains(membership consensus.Membership, responses []*consensuspb.HelloResponse) map[consensus.ReplicaID]string {
	domains := make(map[consensus.ReplicaID]string)
	for _, member := range membership.Members {
		if member.Domain != "" {
			continue
		}
		domain := r.settings.FailureDomain
		if member.ID != r.identity.Replica {
			i := slices.IndexFunc(responses, func(response *consensuspb.HelloResponse) bool { return response.GetReplica() == uint64(member.ID) })
			if i < 0 {
				continue
			}
			domain = responses[i].GetDomain()
		}
		if domain != "" {
			domains[member.ID] = domain
		}
	}
	return domains
}

// recordDomains records the failure domains of the members that formed the group, which did not have
// to join, once per heartbeat setting until ctx ends.
func (r *Replica) recordDomains(ctx context.Context) {
	for actor.Sleep(ctx, r.settings.Timeouts.Heartbeat()) {
		status := r.Status()
		if status.Role != consensus.RoleLeader || !slices.ContainsFunc(status.Membership.Members, func(m consensus.Member) bool { return m.Domain == "" }) {
			continue
		}
		domains := r.missingDomains(status.Membership, r.helloAll(ctx))
		if len(domains) > 0 {
			r.enqueue(ctx, func() { r.proposeDomains(domains) })
		}
	}
}

func (r *Replica) proposeDomains(domains map[consensus.ReplicaID]string) {
	if err := r.core.ProposeChange(consensus.Change{Type: consensus.SetDomains, Domains: domains}); err != nil {
		r.log.Debug().Err(err).Msg("failure domains of the control group not recorded yet")
	}
}

// joinRequest returns the request of the replica with a status, on an instance, to be a member of its
// group.
func (r *Replica) joinRequest(status consensus.Status, group, instance string) *consensuspb.JoinRequest {
	request := &consensuspb.JoinRequest{
		Group: group, Replica: uint64(status.ID), Instance: instance, Domain: r.settings.FailureDomain,
	}
	if member, ok := status.Membership.Find(status.ID); ok {
		request.Joined = proto.Uint64(member.Joined)
	} else if join := r.settings.Join; join != nil && join.Bootstrap {
		request.Joined = proto.Uint64(0)
	}
	return request
}
