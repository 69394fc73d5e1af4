package replica

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"
	"storj.io/drpc"

	"peridotwinch.example/peridotwinch/internal/actor"
	"peridotwinch.example/peridotwinch/internal/consensus"
	"peridotwinch.example/peridotwinch/internal/rpc/consensuspb"
	"peridotwinch.example/peridotwinch/internal/settings"
)

// formOrJoinGroup blocks until a group can be formed or joined. A first start and a lost
// disk cannot be told apart locally, so a replica forms a group only if all initial members
// respond and none belongs to a group; otherwise it joins the existing group.
func (r *Replica) formOrJoinGroup(ctx context.Context) error {
	if err := r.createIdentity(ctx); err != nil {
		return err
	}
	for ctx.Err() == nil {
		id, found := r.findGroup(ctx)
		if !found {
			actor.Sleep(ctx, r.settings.Timeouts.Heartbeat())
			continue
		}
		if err := r.writeWithRetry(ctx, func() error { return r.disk.joinGroup(id) }); err != nil {
			return err
		}
		r.setIdentity(id)
		return r.loadState()
	}
	return nil
}

// createIdentity generates an ID unless the replica has one, and announces it once it is
// durable.
func (r *Replica) createIdentity(ctx context.Context) error {
	if r.identity.Replica != 0 {
		return nil
	}
	id := identity{Replica: newReplicaID()}
	if err := r.writeWithRetry(ctx, func() error { return r.disk.saveIdentity(id) }); err != nil {
		return err
	}
	r.setIdentity(id)
	return nil
}

func (r *Replica) setIdentity(id identity) {
	r.identityMu.Lock()
	defer r.identityMu.Unlock()
	r.identity = id
}

// findGroup queries the other instances. It returns the identity with the group to join or
// to form, or false if neither is possible yet.
func (r *Replica) findGroup(ctx context.Context) (identity, bool) {
	id := r.identity
	if r.isBootstrapSeed() {
		return bootstrapIdentity(r.settings.ControlAddresses(), r.instanceName()), true
	}
	responses := r.helloAll(ctx)
	if existing := mostAdvanced(responses); existing != nil {
		id.Group = existing.GetGroup()
		r.transport.recordMembers(fromMembership(existing.GetCurrent()))
		initial := fromMembership(existing.GetInitial())
		if _, member := initial.Find(id.Replica); member {
			id.Initial = initial
		}
		return id, true
	}
	if r.transport.usesSeeds || len(responses) < len(r.transport.peers) || !r.mayFormGroup() {
		return id, false
	}
	if slices.ContainsFunc(responses, func(response *consensuspb.HelloResponse) bool { return response.GetReplica() == 0 }) {
		return id, false
	}
	members := []consensus.Member{{ID: id.Replica, Instance: r.instanceName()}}
	for _, response := range responses {
		members = append(members, consensus.Member{ID: consensus.ReplicaID(response.GetReplica()), Instance: response.GetInstance()})
	}
	id.Group = uuid.NewString()
	id.Initial = consensus.NewMembership(members...)
	return id, true
}

// mayFormGroup reports whether this instance is the only one that may form a group: the
// first by name, so that two instances never form two groups concurrently.
func (r *Replica) mayFormGroup() bool {
	for instance := range r.transport.peers {
		if instance < r.settings.Instance {
			return false
		}
	}
	return true
}

// mostAdvanced returns the response with the highest applied index among those of replicas
// that belong to a group, or nil if there is none.
func mostAdvanced(responses []*consensuspb.HelloResponse) *consensuspb.HelloResponse {
	var highest *consensuspb.HelloResponse
	for _, response := range responses {
		if response.GetGroup() != "" && (highest == nil || response.GetApplied() > highest.GetApplied()) {
			highest = response
		}
	}
	return highest
}

// helloAll calls Hello on all other instances and returns the responses that arrive within
// sendTimeout.
func (r *Replica) helloAll(ctx context.Context) []*consensuspb.HelloResponse {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	var mu sync.Mutex
	var responses []*consensuspb.HelloResponse
	r.callPeers(ctx, func(ctx context.Context, client consensuspb.DRPCConsensusClient) error {
		response, err := client.Hello(ctx, &consensuspb.HelloRequest{})
		if err != nil {
			return err
		}
		mu.Lock()
		defer mu.Unlock()
		responses = append(responses, response)
		return nil
	})
	return responses
}

// callPeers calls all other instances concurrently and waits until all calls have ended.
// It ignores their errors.
func (r *Replica) callPeers(ctx context.Context, call func(context.Context, consensuspb.DRPCConsensusClient) error) {
	var calls sync.WaitGroup
	for _, p := range r.transport.allPeers() {
		calls.Go(func() {
			_ = p.client.Do(ctx, func(ctx context.Context, conn drpc.Conn) error {
				return call(ctx, consensuspb.NewDRPCConsensusClient(conn))
			})
		})
	}
	calls.Wait()
}

// maintainMembership checks the membership once per heartbeat setting until ctx ends, or once per tick
// while changes are due. The leader proposes the next change, a replica that is not a voter requests
// to join, and a replica without an active leader checks whether members have lost their disks and
// whether the group has removed it.
func (r *Replica) maintainMembership(ctx context.Context) {
	for delay := time.Duration(0); actor.Sleep(ctx, delay); {
		delay = r.settings.Timeouts.Heartbeat()
		status := r.Status()
		switch {
		case status.Role == consensus.RoleLeader:
			if r.proposeNextChange(ctx) {
				delay /= ticksPerHeartbeatSetting
			}
		case !status.Membership.IsVoter(status.ID):
			if !status.HasActiveLeader {
				r.recordLostDisks(ctx, status.Membership, r.helloAll(ctx))
			}
			r.requestJoin(ctx)
		case !status.HasActiveLeader:
			r.checkRemoved(ctx)
		}
	}
}

// requestJoin sends a join request to all other instances; only the leader can add this
// replica.
func (r *Replica) requestJoin(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	status := r.Status()
	request := r.joinRequest(status.Status, status.Group, r.instanceName())
	r.callPeers(ctx, func(ctx context.Context, client consensuspb.DRPCConsensusClient) error {
		_, err := client.Join(ctx, request)
		return err
	})
}

// checkRemoved sets Status.Removed if a replica of the same group has applied more entries
// than this one, and its membership does not contain this replica. With seeds, the replica
// requests to join again instead.
func (r *Replica) checkRemoved(ctx context.Context) {
	status := r.Status()
	responses := r.helloAll(ctx)
	r.recordLostDisks(ctx, status.Membership, responses)
	existing := mostAdvanced(responses)
	if status.Removed || existing == nil || existing.GetGroup() != status.Group || existing.GetApplied() <= status.Applied {
		return
	}
	if _, member := fromMembership(existing.GetCurrent()).Find(status.ID); member {
		return
	}
	if r.transport.usesSeeds {
		// The disk is intact, so the replica may rejoin under its ID, as a learner.
		r.transport.recordMembers(fromMembership(existing.GetCurrent()))
		r.requestJoin(ctx)
		return
	}
	r.log.Error().Msg("the group has replaced this replica; delete the control directory in the data directory to join again")
	r.enqueue(ctx, func() {
		updated := r.Status()
		updated.Removed = true
		r.status.Store(&updated)
	})
}

// recordLostDisks reports to the core the members whose instances responded with other replicas.
func (r *Replica) recordLostDisks(ctx context.Context, membership consensus.Membership, responses []*consensuspb.HelloResponse) {
	lost := lostDisks(membership, responses)
	if len(lost) == 0 {
		return
	}
	for _, member := range lost {
		r.log.Warn().Str("peer", member.Instance).Bool("learner", member.Learner).Msg("instance of a control group member has lost its disk")
	}
	r.enqueue(ctx, func() {
		for _, member := range lost {
			r.core.RecordLostDisks(member.ID)
		}
	})
}

// lostDisks returns the members whose instances run replicas with other IDs, which an instance
// does only once its disk is lost.
func lostDisks(membership consensus.Membership, responses []*consensuspb.HelloResponse) (lost []consensus.Member) {
	for _, member := range membership.Members {
		if slices.ContainsFunc(responses, func(response *consensuspb.HelloResponse) bool {
			return response.GetInstance() == member.Instance && response.GetReplica() != 0 && response.GetReplica() != uint64(member.ID)
		}) {
			lost = append(lost, member)
		}
	}
	return lost
}

// addLearner proposes the replica of a request as a learner, and reports whether it is already a member
// or the change is proposed. It reports false if this replica is not the leader. A replica whose
// instance has lost its disk takes the place of the lost one.
func (r *Replica) addLearner(request *consensuspb.JoinRequest) bool {
	member := consensus.Member{
		ID: consensus.ReplicaID(request.GetReplica()), Instance: request.GetInstance(), Domain: request.GetDomain(),
		Joined: request.GetJoined(),
	}
	if request.Joined == nil {
		member.Joined = r.core.Status().LastIndex + 1
	}
	membership := r.core.Membership()
	if _, ok := membership.Find(member.ID); ok {
		return true
	}
	for _, other := range membership.Members {
		if other.Instance != member.Instance {
			continue
		}
		if r.core.IsActive(other.ID) {
			r.log.Warn().Str("peer", member.Instance).Msg("join request rejected: another replica of this instance is active")
			return false
		}
		if request.Joined == nil {
			member.Joined = other.Joined
		}
	}
	err := r.core.ProposeChange(consensus.Change{Type: consensus.AddLearner, Member: member})
	if err == nil {
		r.log.Info().Str("peer", member.Instance).Msg("adding a replica to the control group as a learner")
	}
	return err == nil
}

// proposeNextChange proposes the next membership change, and reports whether one is due.
func (r *Replica) proposeNextChange(ctx context.Context) bool {
	due := make(chan bool, 1)
	if !r.enqueue(ctx, func() {
		if r.transport.usesSeeds {
			due <- r.adjustMembership(time.Now())
			return
		}
		r.proposeReplacement()
		due <- false
	}) {
		return false
	}
	select {
	case isDue := <-due:
		return isDue
	case <-ctx.Done():
		return false
	}
}

// proposeReplacement proposes the next step to replace a voter by a learner that has caught
// up: it first removes the lost voter and then promotes the learner, so that each step
// needs only active replicas. Of two voters it removes none before the learner is promoted.
func (r *Replica) proposeReplacement() {
	if member, ok := r.obsoleteVoter(); ok {
		if err := r.core.ProposeChange(consensus.Change{Type: consensus.RemoveReplica, Member: member}); err == nil {
			r.log.Info().Str("peer", member.Instance).Msg("removing the lost replica of an instance from the control group")
		}
		return
	}
	for _, learner := range r.core.Membership().Members {
		if !learner.Learner || !r.core.IsCaughtUp(learner.ID) {
			continue
		}
		change := consensus.Change{Type: consensus.PromoteLearner, Member: learner}
		if replaced, ok := r.voterReplacedBy(learner); ok && len(r.core.Membership().Voters()) > 2 {
			change = consensus.Change{Type: consensus.RemoveReplica, Member: replaced}
		}
		if err := r.core.ProposeChange(change); err == nil {
			r.log.Info().Str("peer", learner.Instance).Stringer("change", change.Type).Msg("replacing a voter of the control group")
		}
		return
	}
}

// obsoleteVoter returns an inactive voter whose instance runs an active one.
func (r *Replica) obsoleteVoter() (consensus.Member, bool) {
	members := r.core.Membership().Members
	for _, member := range members {
		if !member.Learner && !r.core.IsActive(member.ID) && slices.ContainsFunc(members, func(other consensus.Member) bool {
			return !other.Learner && other.Instance == member.Instance && r.core.IsActive(other.ID)
		}) {
			return member, true
		}
	}
	return consensus.Member{}, false
}

// voterReplacedBy returns the voter that a learner replaces: the voter of the same
// instance, or otherwise one whose instance is no longer in the settings.
func (r *Replica) voterReplacedBy(learner consensus.Member) (consensus.Member, bool) {
	var departed consensus.Member
	for _, member := range r.core.Membership().Members {
		if member.Learner {
			continue
		}
		if member.Instance == learner.Instance {
			return member, true
		}
		if !r.isConfigured(member.Instance) {
			departed = member
		}
	}
	return departed, departed.ID != 0
}

// isConfigured reports whether the settings contain the instance with the control role.
func (r *Replica) isConfigured(instance string) bool {
	return slices.ContainsFunc(r.settings.PeersWithRole(settings.RoleControl), func(p settings.Peer) bool {
		return p.Instance == instance
	})
}
