package quorum

import (
	"context"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/ledger"
	"peridotwinch.example/peridotwinch/internal/rpc/ledgerpb"
)

// view is a member list of a group with a client for each member. An attempt
// counts the grants of one view only.
type view struct {
	group       *group
	list        ledger.MemberList
	fingerprint uint64
	replicas    []*replicaClient
}

// isCurrent reports whether no newer member list is known.
func (v *view) isCurrent() bool { return v.group.currentView() == v }

// recordReply updates the known epoch and member list from a reply.
func (g *group) recordReply(reply ledger.Reply) {
	g.raiseEpoch(reply.Epoch)
	if reply.List != nil {
		g.updateMemberList(reply.Shards, *reply.List)
	}
}

func (v *view) majority() int { return ledger.Majority(len(v.replicas)) }

// newOperation returns an operation for a claim at the newest known epoch.
func (v *view) newOperation(kind ledgerpb.OperationKind, r ledger.ClaimRequest) *ledgerpb.Operation {
	return &ledgerpb.Operation{
		Kind: kind, Key: r.Key[:], Attempt: r.Attempt[:], RequestDigest: r.Digest[:],
		Epoch: v.group.epoch.Load(), View: v.fingerprint, Generation: r.Generation, MintedAt: r.MintedAt,
	}
}

// memberReply is the reply of a member, or the error of its RPC.
type memberReply struct {
	member int
	reply  ledger.Reply
	err    error
}

// requestClaim requests the key from all replicas. It returns once the attempt is
// decided, every replica has answered, callTimeout has passed, or ctx ends.
func (v *view) requestClaim(ctx context.Context, r ledger.ClaimRequest, attempt *ledger.Attempt) ledger.Outcome {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	replies := make(chan memberReply)
	send := func(member int) {
		operation := v.newOperation(ledgerpb.OperationKind_CLAIM, r)
		go func() {
			reply, err := v.replicas[member].do(ctx, operation)
			select {
			case replies <- memberReply{member, reply, err}:
			case <-ctx.Done():
			}
		}()
	}
	for member := range v.replicas {
		attempt.MarkPending(member)
		send(member)
	}
	for {
		select {
		case result := <-replies:
			v.handleReply(attempt, result, send)
		case <-ctx.Done():
			return v.failUnanswered(attempt)
		}
		if outcome := attempt.Outcome(); outcome != ledger.OutcomePending {
			return outcome
		}
	}
}

// handleReply adds a reply to the attempt. While the attempt is undecided, it
// sends the claim again to the members whose reply does not count because another
// member has a higher epoch.
func (v *view) handleReply(attempt *ledger.Attempt, result memberReply, send func(member int)) {
	if result.err != nil {
		attempt.MarkFailed(result.member)
		return
	}
	attempt.Add(result.member, result.reply)
	v.group.recordReply(result.reply)
	if attempt.Outcome() != ledger.OutcomePending {
		return
	}
	for member := range v.replicas {
		if attempt.Outdated(member) && attempt.IsAnswered(member) {
			attempt.MarkPending(member)
			send(member)
		}
	}
}

// failUnanswered counts the members that did not answer in time as failed, and
// returns the outcome.
func (v *view) failUnanswered(attempt *ledger.Attempt) ledger.Outcome {
	for member := range v.replicas {
		attempt.MarkFailed(member)
	}
	return attempt.Outcome()
}

// readKey returns how many replicas have the key free, and whether one has an
// answer. It stops counting once the result is decided.
func (v *view) readKey(ctx context.Context, r ledger.ClaimRequest) (free int, completed bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	replies := make(chan ledger.Reply, len(v.replicas))
	operation := &ledgerpb.Operation{Kind: ledgerpb.OperationKind_READ, Key: r.Key[:], Generation: r.Generation}
	for _, replica := range v.replicas {
		go func() {
			reply, _ := replica.do(ctx, operation)
			replies <- reply
		}()
	}
	for range v.replicas {
		reply := <-replies
		if reply.Status == ledger.StatusCompleted {
			return free, true
		}
		if reply.Status == ledger.StatusFree {
			free++
		}
		if free >= v.majority() {
			return free, false
		}
	}
	return free, false
}

func (v *view) noMajorityError() error {
	return api.Errorf(api.CodeClaimUnavailable, "no majority of %d ledger replicas acknowledged the operation", len(v.replicas))
}

// generation returns the newest generation of a majority of replicas, or false if
// fewer than a majority are active.
func (v *view) generation(ctx context.Context) (uint64, bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	metas := make(chan ledger.Meta, len(v.replicas))
	for _, replica := range v.replicas {
		go func() {
			meta, _ := replica.meta(ctx)
			metas <- meta
		}()
	}
	var newest uint64
	active := 0
	for range v.replicas {
		meta := <-metas
		if meta.Phase != ledger.PhaseActive {
			continue
		}
		v.group.updateMemberList(meta.Shards, meta.List())
		active++
		newest = max(newest, meta.Generation)
		if active == v.majority() {
			return newest, true
		}
	}
	return 0, false
}
