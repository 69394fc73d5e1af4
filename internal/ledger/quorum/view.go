package quorum

import (
	"context"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/ledger"
	"peridotwinch.example/peridotwinch/internal/rpc/ledgerpb"
)

// view is a member list of a group with a client of each member. An attempt
// counts the grants of one view only.
type view struct {
	group       *group
	list        ledger.MemberList
	fingerprint uint64
	replicas    []*replicaClient
}

// isCurrent reports whether no newer list is known.
func (v *view) isCurrent() bool { return v.group.now() == v }

// hear notes what a reply tells of the group.
func (g *group) hear(reply ledger.Reply) {
	g.learn(reply.Epoch)
	if reply.List != nil {
		g.learnList(reply.Shards, *reply.List)
	}
}

func (v *view) majority() int { return ledger.Majority(len(v.replicas)) }

// message returns the operation of a claim at the known epoch.
func (v *view) message(kind ledgerpb.OperationKind, r ledger.ClaimRequest) *ledgerpb.Operation {
	return &ledgerpb.Operation{
		Kind: kind, Key: r.Key[:], Attempt: r.Attempt[:], RequestDigest: r.Digest[:],
		Epoch: v.group.epoch.Load(), View: v.fingerprint, Generation: r.Generation, MintedAt: r.MintedAt,
	}
}

// memberReply is a member's reply, or an error.
type memberReply struct {
	member int
	reply  ledger.Reply
	err    error
}

// round asks the replicas for the key until the attempt is decided, every
// replica has answered, or ctx ends.
func (v *view) round(ctx context.Context, r ledger.ClaimRequest, attempt *ledger.Attempt) ledger.Outcome {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	replies := make(chan memberReply)
	ask := func(member int) {
		message := v.message(ledgerpb.OperationKind_CLAIM, r)
		go func() {
			reply, err := v.replicas[member].do(ctx, message)
			select {
			case replies <- memberReply{member, reply, err}:
			case <-ctx.Done():
			}
		}()
	}
	for member := range v.replicas {
		attempt.AskAgain(member)
		ask(member)
	}
	for {
		select {
		case got := <-replies:
			v.take(attempt, got, ask)
		case <-ctx.Done():
			return v.giveUp(attempt)
		}
		if outcome := attempt.Outcome(); outcome != ledger.OutcomeOpen {
			return outcome
		}
	}
}

func (v *view) take(attempt *ledger.Attempt, got memberReply, ask func(member int)) {
	if got.err != nil {
		attempt.Fail(got.member)
		return
	}
	attempt.Add(got.member, got.reply)
	v.group.hear(got.reply)
	if attempt.Outcome() != ledger.OutcomeOpen {
		return
	}
	for member := range v.replicas {
		if attempt.Outdated(member) && attempt.IsAnswered(member) {
			attempt.AskAgain(member)
			ask(member)
		}
	}
}

// giveUp counts the members that did not answer in time as failed.
func (v *view) giveUp(attempt *ledger.Attempt) ledger.Outcome {
	for member := range v.replicas {
		attempt.Fail(member)
	}
	return attempt.Outcome()
}

// read returns how many replicas see the key free, and whether one has an answer.
func (v *view) read(ctx context.Context, r ledger.ClaimRequest) (free int, finished bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	replies := make(chan ledger.Reply, len(v.replicas))
	message := &ledgerpb.Operation{Kind: ledgerpb.OperationKind_READ, Key: r.Key[:], Generation: r.Generation}
	for _, replica := range v.replicas {
		go func() {
			reply, _ := replica.do(ctx, message)
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

func (v *view) noMajority() error {
	return api.Errorf(api.CodeClaimUnavailable, "no majority of %d ledger replicas answered", len(v.replicas))
}

// generation returns the newest one of a majority of active replicas.
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
		v.group.learnList(meta.Shards, meta.List())
		active++
		newest = max(newest, meta.Generation)
		if active == v.majority() {
			return newest, true
		}
	}
	return 0, false
}
