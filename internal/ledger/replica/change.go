package replica

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"storj.io/drpc"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/actor"
	"peridotwinch.example/peridotwinch/internal/ledger"
	"peridotwinch.example/peridotwinch/internal/ledger/wire"
	"peridotwinch.example/peridotwinch/internal/rpc/ledgerpb"
)

// Timing of a membership change.
const (
	changeTimeout = time.Minute
	// changeInterval is the minimum time between two ballots or status checks.
	changeInterval = 100 * time.Millisecond
	// majorityTimeout is how long a change waits for replies of a majority. A member that
	// pauses or restarts misses a round.
	majorityTimeout = 5 * time.Second
)

// memberReplacement is the replacement of one member in progress.
type memberReplacement struct {
	operator             *Operator
	oldMember, newMember string
	// started is set when a ballot has started. If oldMember is gone from the member
	// list afterwards, another change was decided first.
	started bool
	random  *rand.Rand
}

// Replace replaces the member oldMember by the instance newMember. It returns once
// a majority of the old members has accepted the new list, a majority of the new
// members has installed it, and the new instance has copied the claims, so that the
// group survives the loss of one more member.
//
// The same call resumes an interrupted change. It fails with CodeLedgerMember if
// oldMember is not a member, or newMember is one, does not reply or is not empty;
// with CodeLedgerChange if another change is pending or was decided first; with
// CodeLedgerNoMajority if no majority of the old members replies; and with
// CodeUnreachable if the change is decided but not complete within a minute.
func (o *Operator) Replace(ctx context.Context, oldMember, newMember string) error {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	r := &memberReplacement{
		operator: o, oldMember: oldMember, newMember: newMember,
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	start := time.Now()
	for {
		decided, err := r.runBallot(ctx)
		if err != nil && (api.AsError(err).Code != api.CodeLedgerNoMajority || time.Since(start) > majorityTimeout) {
			return err
		}
		if decided {
			return r.waitUntilDone(ctx)
		}
		if !actor.Sleep(ctx, changeInterval+r.jitter()) {
			return r.noMajorityError()
		}
	}
}

// jitter returns a random delay, so that two operators do not keep invalidating
// each other's ballots by raising the epoch alternately.
func (r *memberReplacement) jitter() time.Duration {
	return time.Duration(r.random.Int64N(int64(changeInterval)))
}

func (r *memberReplacement) noMajorityError() error {
	return api.Errorf(api.CodeLedgerNoMajority,
		"no majority of the members of group %s accepted the membership change; run the command again",
		r.operator.group)
}

// runBallot runs one ballot: a majority of the members promises a new epoch, then
// a majority accepts the new list in it. It returns true if the new list is committed
// and false if the ballot failed and must be repeated.
func (r *memberReplacement) runBallot(ctx context.Context) (bool, error) {
	metas := metasByInstance(r.operator.queryMembers(ctx))
	list, found := ledger.CommittedList(metas)
	if !found {
		return false, r.noMajorityError()
	}
	if list.Has(r.newMember) && !list.Has(r.oldMember) {
		return true, nil
	}
	if countActive(list, metas) < ledger.Majority(len(list.Members)) {
		return false, r.noMajorityError()
	}
	if err := r.check(list, metas); err != nil {
		return false, err
	}
	r.started = true
	next := list.Replace(r.oldMember, r.newMember, r.operator.clients.addresses[r.newMember])
	epoch := ledger.ChangeEpoch(highestEpoch(metas), r.random)
	promised := r.sendChange(ctx, list, &ledgerpb.ChangeRequest{Epoch: epoch, Base: list.ListEpoch})
	if len(promised) < ledger.Majority(len(list.Members)) {
		return false, nil
	}
	if pending := newestPending(promised); pending != nil && !slices.Equal(pending.Members, next.Members) {
		return false, api.Errorf(api.CodeLedgerChange,
			"a membership change of group %s from %v to %v is already pending",
			r.operator.group, list.Members, pending.Members)
	}
	accepted := r.sendChange(ctx, list, &ledgerpb.ChangeRequest{Epoch: epoch, Base: list.ListEpoch, Next: wire.FromList(&next)})
	return len(accepted) >= ledger.Majority(len(list.Members)), nil
}

// check rejects a change that cannot be made. A change to newMember that is already
// pending may be finished without a reply of newMember.
func (r *memberReplacement) check(list ledger.MemberList, metas map[string]ledger.Meta) error {
	if !list.Has(r.oldMember) {
		if r.started {
			return api.Errorf(api.CodeLedgerChange, "another membership change was decided first: the members are %v", list.Members)
		}
		return api.Errorf(api.CodeLedgerMember,
			"instance %s is not a member of group %s: the members are %v", r.oldMember, r.operator.group, list.Members)
	}
	if list.Has(r.newMember) {
		return api.Errorf(api.CodeLedgerMember, "instance %s is already a member of group %s", r.newMember, r.operator.group)
	}
	for _, meta := range metas {
		if meta.Pending != nil && meta.Pending.Has(r.newMember) && !meta.Pending.Has(r.oldMember) {
			return nil
		}
	}
	meta, replied := metas[r.newMember]
	if !replied {
		return api.Errorf(api.CodeLedgerMember,
			"instance %s has no reachable replica of group %s; add the replica to the settings of the instance and start it",
			r.newMember, r.operator.group)
	}
	if meta.Phase != ledger.PhaseEmpty {
		return api.Errorf(api.CodeLedgerMember, "the replica of group %s on instance %s is not empty", r.operator.group, r.newMember)
	}
	return nil
}

// sendChange sends a change request to all members of a list and returns the
// metadata of those that accept it.
func (r *memberReplacement) sendChange(ctx context.Context, list ledger.MemberList, request *ledgerpb.ChangeRequest) []ledger.Meta {
	request.Group = string(r.operator.group)
	ctx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	responses := callAll(r.operator.unqueriedMembers(list, nil), func(m member) *ledgerpb.ChangeResponse {
		var response *ledgerpb.ChangeResponse
		_ = m.client.Do(ctx, func(ctx context.Context, conn drpc.Conn) (err error) {
			response, err = ledgerpb.NewDRPCLedgerClient(conn).Change(ctx, request)
			return err
		})
		return response
	})
	var accepted []ledger.Meta
	for _, response := range responses {
		if response.GetAccepted() {
			accepted = append(accepted, wire.ToMeta(response.Meta))
		}
	}
	return accepted
}

// countActive returns the number of members of a list that are active.
func countActive(list ledger.MemberList, metas map[string]ledger.Meta) int {
	count := 0
	for _, member := range list.Members {
		if metas[member].Phase == ledger.PhaseActive {
			count++
		}
	}
	return count
}

func highestEpoch(metas map[string]ledger.Meta) uint64 {
	var highest uint64
	for _, meta := range metas {
		highest = max(highest, meta.Epoch)
	}
	return highest
}

// newestPending returns the pending list with the highest epoch, or nil. A majority
// may have accepted that list.
func newestPending(metas []ledger.Meta) *ledger.MemberList {
	var newest *ledger.MemberList
	for _, meta := range metas {
		if meta.Pending != nil && (newest == nil || meta.Pending.ListEpoch > newest.ListEpoch) {
			newest = meta.Pending
		}
	}
	return newest
}

// waitUntilDone returns once the new member is active and a majority of the members
// has installed the new list.
func (r *memberReplacement) waitUntilDone(ctx context.Context) error {
	for {
		metas := metasByInstance(r.operator.queryMembers(ctx))
		if r.isDone(metas) {
			return nil
		}
		if !actor.Sleep(ctx, changeInterval) {
			return api.Errorf(api.CodeUnreachable,
				"the membership change is decided, but instance %s has not copied the claims yet; run the command again",
				r.newMember)
		}
	}
}

func (r *memberReplacement) isDone(metas map[string]ledger.Meta) bool {
	list, found := ledger.InstalledList(metas)
	if !found || !list.Has(r.newMember) || list.Has(r.oldMember) {
		return false
	}
	installed := 0
	for _, member := range list.Members {
		meta := metas[member]
		if meta.Phase == ledger.PhaseActive && slices.Equal(meta.Members, list.Members) {
			installed++
		}
	}
	newMeta := metas[r.newMember]
	return installed >= ledger.Majority(len(list.Members)) && newMeta.Phase == ledger.PhaseActive
}
