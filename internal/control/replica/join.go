package replica

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"peridotwinch.example/peridotwinch/internal/consensus"
	"peridotwinch.example/peridotwinch/internal/settings"
)

const (
	// lostAfter is the silence after which a learner takes a voter's place. It is
	// above an election timeout and below the 4 s after which a lost machine has
	// to be made up for.
	lostAfter = 2 * time.Second
	// forgottenAfter is the silence after which a learner leaves the group; it
	// joins again by itself.
	forgottenAfter = 6 * time.Second
)

// name returns the name of this replica's instance in the group.
func (r *Replica) name() string { return r.transport.instance }

// AddSeeds adds addresses at which other replicas may be found.
func (r *Replica) AddSeeds(addresses []string) {
	r.transport.mu.Lock()
	defer r.transport.mu.Unlock()
	for _, address := range addresses {
		r.transport.addPeer(settings.Peer{Instance: address, Address: address})
	}
}

// bootstraps reports whether this replica is one of those that form the group at
// the first start of the whole system.
func (r *Replica) bootstraps() bool {
	join := r.settings.Join
	return join != nil && join.Bootstrap && slices.Contains(r.settings.ControlAddresses(), r.name())
}

// bootstrapIdentity returns the identity of a seed at the first start. All seeds
// work the same one out from their addresses, so that none has to hear another.
func bootstrapIdentity(addresses []string, own string) identity {
	id := identity{Replica: seedID(own), Group: "seeds " + strings.Join(addresses, " ")}
	members := make([]consensus.Member, 0, len(addresses))
	for _, address := range addresses {
		members = append(members, consensus.Member{ID: seedID(address), Instance: address})
	}
	id.Initial = consensus.NewMembership(members...)
	return id
}

func seedID(address string) consensus.ReplicaID {
	return consensus.ReplicaID(xxhash.Sum64String(address) | 1)
}

// fillGroup takes one step towards a group whose voters are all alive and whose
// number is odd: an even number bears no more losses than the odd one below it.
func (r *Replica) fillGroup(now time.Time) {
	r.noteSilence(now)
	change, ok := nextChange(r.core.Membership(), groupView{
		caughtUp:  r.core.IsCaughtUp,
		silentFor: func(id consensus.ReplicaID) time.Duration { return r.silentFor(id, now) },
	})
	if !ok {
		return
	}
	if err := r.core.ProposeChange(change); err == nil {
		r.log.Info().Str("peer", change.Member.Instance).Int("change", int(change.Type)).Msg("the control group changes")
	}
}

// noteSilence keeps since when each member has been silent.
func (r *Replica) noteSilence(now time.Time) {
	silent := make(map[consensus.ReplicaID]time.Time)
	for _, member := range r.core.Membership().Members {
		if r.core.IsActive(member.ID) {
			continue
		}
		silent[member.ID] = now
		if since, ok := r.silentSince[member.ID]; ok {
			silent[member.ID] = since
		}
	}
	r.silentSince = silent
}

func (r *Replica) silentFor(id consensus.ReplicaID, now time.Time) time.Duration {
	since, ok := r.silentSince[id]
	if !ok {
		return 0
	}
	return now.Sub(since)
}

// groupView is what a leader knows of the members.
type groupView struct {
	caughtUp  func(consensus.ReplicaID) bool
	silentFor func(consensus.ReplicaID) time.Duration
}

// nextChange returns the next step of the membership, if one is due.
func nextChange(group consensus.Membership, view groupView) (consensus.Change, bool) {
	var ready []consensus.Member
	for _, member := range group.Members {
		if !member.Learner {
			continue
		}
		if view.silentFor(member.ID) > forgottenAfter {
			return consensus.Change{Type: consensus.RemoveReplica, Member: member}, true
		}
		if view.caughtUp(member.ID) {
			ready = append(ready, member)
		}
	}
	if len(ready) == 0 {
		return consensus.Change{}, false
	}
	if lost, ok := lostVoter(group, ready, view); ok {
		return consensus.Change{Type: consensus.RemoveReplica, Member: lost}, true
	}
	if len(group.Voters())%2 == 0 || len(ready) > 1 {
		return consensus.Change{Type: consensus.PromoteLearner, Member: ready[0]}, true
	}
	return consensus.Change{}, false
}

// lostVoter returns a voter whose place a learner takes: the one that lost its
// disk and came back at the same address, else one that has been silent for long.
func lostVoter(group consensus.Membership, ready []consensus.Member, view groupView) (consensus.Member, bool) {
	if len(group.Voters())%2 == 0 {
		return consensus.Member{}, false
	}
	for _, member := range group.Members {
		if member.Learner {
			continue
		}
		isBack := slices.ContainsFunc(ready, func(m consensus.Member) bool { return m.Instance == member.Instance })
		if isBack || view.silentFor(member.ID) > lostAfter {
			return member, true
		}
	}
	return consensus.Member{}, false
}
