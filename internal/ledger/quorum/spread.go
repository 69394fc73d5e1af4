package quorum

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"peridotwinch.example/peridotwinch/internal/actor"
	"peridotwinch.example/peridotwinch/internal/ledger"
	"peridotwinch.example/peridotwinch/internal/ledger/wire"
	"peridotwinch.example/peridotwinch/internal/rpc/ledgerpb"
)

// Timeout and retry delay of a broadcast.
const (
	// broadcastTimeout bounds the delivery of a release or a completion to the
	// replicas beyond the majority.
	broadcastTimeout    = 30 * time.Second
	broadcastRetryDelay = 100 * time.Millisecond
)

// errMemberListChanged ends a delivery to a member of an outdated member list.
var errMemberListChanged = errors.New("the ledger group has a newer member list")

// broadcast sends an operation to every replica of a view until all have it on
// disk.
type broadcast struct {
	view *view
	// newOperation returns the operation at the newest known epoch.
	newOperation func(v *view) *ledgerpb.Operation
	// wantStatus is the status of a replica that has applied the operation.
	wantStatus ledger.Status
	acks       *ledger.Acks
	// replies receives one reply for each delivery.
	replies chan memberReply
	// inFlight is the number of deliveries without a reply.
	inFlight int
	// acknowledged is set once a majority of a member list has the operation on
	// disk. It stays set for newer member lists.
	acknowledged bool
	// durable receives nil when acknowledged is set, or an error if the broadcast
	// ends without a majority.
	durable chan error
}

// release returns nil once a majority has the release on disk. The delivery to the
// other replicas continues in the background.
func (g *group) release(ctx context.Context, r ledger.ClaimRequest) error {
	newOperation := func(v *view) *ledgerpb.Operation { return v.newOperation(ledgerpb.OperationKind_RELEASE, r) }
	return g.broadcast(ctx, newOperation, ledger.StatusReleased)
}

// complete returns nil once a majority has the answer on disk. The delivery to the
// other replicas continues in the background.
func (g *group) complete(ctx context.Context, r ledger.ClaimRequest, answer ledger.Answer) error {
	stored := wire.FromAnswer(answer.ToStored())
	newOperation := func(v *view) *ledgerpb.Operation {
		operation := v.newOperation(ledgerpb.OperationKind_COMPLETE, r)
		operation.Answer = stored
		return operation
	}
	return g.broadcast(ctx, newOperation, ledger.StatusCompleted)
}

// broadcast delivers an operation in the background. It returns nil once a
// majority has it on disk, or CodeClaimUnavailable if no majority does before
// ctx or the broadcast ends.
func (g *group) broadcast(ctx context.Context, newOperation func(v *view) *ledgerpb.Operation, wantStatus ledger.Status) error {
	durable := make(chan error, 1)
	background, cancel := context.WithTimeout(context.WithoutCancel(ctx), broadcastTimeout)
	go func() {
		defer cancel()
		g.broadcastToCurrent(background, newOperation, wantStatus, durable)
	}()
	select {
	case err := <-durable:
		return err
	case <-ctx.Done():
		return g.currentView().noMajorityError()
	}
}

// broadcastToCurrent delivers an operation to the members of the current list, and
// restarts if a newer member list replaces it.
func (g *group) broadcastToCurrent(ctx context.Context, newOperation func(v *view) *ledgerpb.Operation, wantStatus ledger.Status, durable chan error) {
	acknowledged := false
	for {
		b := &broadcast{
			view: g.currentView(), newOperation: newOperation, wantStatus: wantStatus, acknowledged: acknowledged, durable: durable,
			replies: make(chan memberReply),
		}
		b.acks = ledger.NewAcks(len(b.view.replicas))
		b.run(ctx)
		acknowledged = b.acknowledged
		if ctx.Err() != nil || b.view.isCurrent() {
			break
		}
	}
	if !acknowledged {
		durable <- g.currentView().noMajorityError()
	}
}

// run returns once every member has acknowledged the operation in the newest
// epoch or has failed.
func (b *broadcast) run(ctx context.Context) {
	for member := range b.view.replicas {
		b.startDelivery(ctx, member)
	}
	for b.inFlight > 0 {
		b.handleReply(ctx, <-b.replies)
		if b.acks.Durable() && !b.acknowledged {
			b.acknowledged = true
			b.durable <- nil
		}
	}
}

// handleReply counts an acknowledgement. A member that acknowledged in an older
// epoch receives the operation again.
func (b *broadcast) handleReply(ctx context.Context, result memberReply) {
	b.inFlight--
	if result.err != nil || result.reply.Status != b.wantStatus {
		return
	}
	b.acks.Add(result.member, result.reply.Epoch)
	for _, member := range b.acks.Outdated() {
		b.acks.Remove(member)
		b.startDelivery(ctx, member)
	}
}

func (b *broadcast) startDelivery(ctx context.Context, member int) {
	b.inFlight++
	go func() {
		reply, err := b.deliver(ctx, b.view.replicas[member])
		b.replies <- memberReply{member, reply, err}
	}()
}

// deliver retries the operation until the replica answers as an active member of
// the same view. It returns errMemberListChanged if a newer member list is known.
func (b *broadcast) deliver(ctx context.Context, replica *replicaClient) (ledger.Reply, error) {
	for {
		reply, err := replica.do(ctx, b.newOperation(b.view))
		if err == nil {
			b.view.group.recordReply(reply)
		}
		if err == nil && reply.Status != ledger.StatusInactive && reply.Status != ledger.StatusViewDiffers {
			return reply, nil
		}
		if !b.view.isCurrent() {
			return reply, errMemberListChanged
		}
		if !actor.Sleep(ctx, broadcastRetryDelay) {
			return reply, ctx.Err()
		}
	}
}
