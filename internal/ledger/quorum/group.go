package quorum

import (
	"context"
	"sync/atomic"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/ledger"
	"peridotwinch.example/peridotwinch/internal/rpc/ledgerpb"
)

// group claims keys at the replicas of one group.
type group struct {
	replicas []*replicaClient
	// epoch is the highest one seen.
	epoch atomic.Uint64
}

func newGroup(id ledger.GroupID, addresses []string) *group {
	g := &group{}
	for _, address := range addresses {
		g.replicas = append(g.replicas, newReplicaClient(id, address))
	}
	return g
}

// learn notes an epoch of a reply.
func (g *group) learn(epoch uint64) {
	for {
		known := g.epoch.Load()
		if epoch <= known || g.epoch.CompareAndSwap(known, epoch) {
			return
		}
	}
}

func (g *group) majority() int { return ledger.Majority(len(g.replicas)) }

// message returns the operation of a claim at the known epoch.
func (g *group) message(kind ledgerpb.OperationKind, r ledger.ClaimRequest) *ledgerpb.Operation {
	return &ledgerpb.Operation{
		Kind: kind, Key: r.Key[:], Attempt: r.Attempt[:], RequestDigest: r.Digest[:],
		Epoch: g.epoch.Load(), Generation: r.Generation, MintedAt: r.MintedAt,
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
func (g *group) round(ctx context.Context, r ledger.ClaimRequest, attempt *ledger.Attempt) ledger.Outcome {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	replies := make(chan memberReply)
	ask := func(member int) {
		message := g.message(ledgerpb.OperationKind_CLAIM, r)
		go func() {
			reply, err := g.replicas[member].do(ctx, message)
			select {
			case replies <- memberReply{member, reply, err}:
			case <-ctx.Done():
			}
		}()
	}
	for member := range g.replicas {
		attempt.AskAgain(member)
		ask(member)
	}
	for {
		select {
		case got := <-replies:
			g.take(attempt, got, ask)
		case <-ctx.Done():
			return g.giveUp(attempt)
		}
		if outcome := attempt.Outcome(); outcome != ledger.OutcomeOpen {
			return outcome
		}
	}
}

func (g *group) take(attempt *ledger.Attempt, got memberReply, ask func(member int)) {
	if got.err != nil {
		attempt.Fail(got.member)
		return
	}
	attempt.Add(got.member, got.reply)
	g.learn(got.reply.Epoch)
	if attempt.Outcome() != ledger.OutcomeOpen {
		return
	}
	for member := range g.replicas {
		if attempt.Outdated(member) && attempt.IsAnswered(member) {
			attempt.AskAgain(member)
			ask(member)
		}
	}
}

// giveUp counts the members that did not answer in time as failed.
func (g *group) giveUp(attempt *ledger.Attempt) ledger.Outcome {
	for member := range g.replicas {
		attempt.Fail(member)
	}
	return attempt.Outcome()
}

// read returns how many replicas see the key free, and whether one has an answer.
func (g *group) read(ctx context.Context, r ledger.ClaimRequest) (free int, finished bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	replies := make(chan ledger.Reply, len(g.replicas))
	message := &ledgerpb.Operation{Kind: ledgerpb.OperationKind_READ, Key: r.Key[:], Generation: r.Generation}
	for _, replica := range g.replicas {
		go func() {
			reply, _ := replica.do(ctx, message)
			replies <- reply
		}()
	}
	for range g.replicas {
		reply := <-replies
		if reply.Status == ledger.StatusCompleted {
			return free, true
		}
		if reply.Status == ledger.StatusFree {
			free++
		}
		if free >= g.majority() {
			return free, false
		}
	}
	return free, false
}

func (g *group) noMajority() error {
	return api.Errorf(api.CodeClaimUnavailable, "no majority of %d ledger replicas answered", len(g.replicas))
}

// generation returns the newest one of a majority of active replicas.
func (g *group) generation(ctx context.Context) (uint64, bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	metas := make(chan ledger.Meta, len(g.replicas))
	for _, replica := range g.replicas {
		go func() {
			meta, _ := replica.meta(ctx)
			metas <- meta
		}()
	}
	var newest uint64
	active := 0
	for range g.replicas {
		meta := <-metas
		if meta.Phase != ledger.PhaseActive {
			continue
		}
		active++
		newest = max(newest, meta.Generation)
		if active == g.majority() {
			return newest, true
		}
	}
	return 0, false
}
