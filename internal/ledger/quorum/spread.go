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

// Times of a spread.
const (
	// spreadTimeout bounds how long the replicas beyond the majority are told
	// of a release or a completion.
	spreadTimeout = 30 * time.Second
	spreadRetry   = 100 * time.Millisecond
)

// errListChanged ends a spread to an older member list.
var errListChanged = errors.New("the group has a newer member list")

// spread sends an operation to every replica until all have it on disk.
type spread struct {
	view *view
	// message returns the operation at the epoch that is known now.
	message func(v *view) *ledgerpb.Operation
	// want is the status of a replica that has taken the operation.
	want ledger.Status
	acks *ledger.Acks
	// replies takes one reply of each member that has been told.
	replies chan memberReply
	told    int
	// settled is set once a majority of a list has taken the operation, which
	// durable then tells.
	settled bool
	durable chan error
}

// release returns once a majority has the release on disk. The rest goes on
// beside the caller.
func (g *group) release(ctx context.Context, r ledger.ClaimRequest) error {
	message := func(v *view) *ledgerpb.Operation { return v.message(ledgerpb.OperationKind_RELEASE, r) }
	return g.spread(ctx, message, ledger.StatusReleased)
}

// complete returns once a majority has the answer on disk. The rest goes on
// beside the caller.
func (g *group) complete(ctx context.Context, r ledger.ClaimRequest, answer ledger.Answer) error {
	stored := wire.FromAnswer(answer.Bounded())
	message := func(v *view) *ledgerpb.Operation {
		out := v.message(ledgerpb.OperationKind_COMPLETE, r)
		out.Answer = stored
		return out
	}
	return g.spread(ctx, message, ledger.StatusCompleted)
}

func (g *group) spread(ctx context.Context, message func(v *view) *ledgerpb.Operation, want ledger.Status) error {
	durable := make(chan error, 1)
	background, cancel := context.WithTimeout(context.WithoutCancel(ctx), spreadTimeout)
	go func() {
		defer cancel()
		g.spreadToNewest(background, message, want, durable)
	}()
	select {
	case err := <-durable:
		return err
	case <-ctx.Done():
		return g.now().noMajority()
	}
}

// spreadToNewest begins again with each newer member list.
func (g *group) spreadToNewest(ctx context.Context, message func(v *view) *ledgerpb.Operation, want ledger.Status, durable chan error) {
	settled := false
	for {
		s := &spread{
			view: g.now(), message: message, want: want, settled: settled, durable: durable,
			replies: make(chan memberReply),
		}
		s.acks = ledger.NewAcks(len(s.view.replicas))
		s.run(ctx)
		settled = s.settled
		if ctx.Err() != nil || s.view.isCurrent() {
			break
		}
	}
	if !settled {
		durable <- g.now().noMajority()
	}
}

// run ends when every member has taken the operation in the newest epoch, or
// has failed.
func (s *spread) run(ctx context.Context) {
	for member := range s.view.replicas {
		s.tell(ctx, member)
	}
	for s.told > 0 {
		s.take(ctx, <-s.replies)
		if s.acks.Durable() && !s.settled {
			s.settled = true
			s.durable <- nil
		}
	}
}

func (s *spread) take(ctx context.Context, got memberReply) {
	s.told--
	if got.err != nil || got.reply.Status != s.want {
		return
	}
	s.acks.Add(got.member, got.reply.Epoch)
	for _, member := range s.acks.Outdated() {
		s.acks.Forget(member)
		s.tell(ctx, member)
	}
}

func (s *spread) tell(ctx context.Context, member int) {
	s.told++
	go func() {
		reply, err := s.deliver(ctx, s.view.replicas[member])
		s.replies <- memberReply{member, reply, err}
	}()
}

// deliver repeats the operation until the replica has answered as an active one,
// or a newer member list is known.
func (s *spread) deliver(ctx context.Context, replica *replicaClient) (ledger.Reply, error) {
	for {
		reply, err := replica.do(ctx, s.message(s.view))
		if err == nil {
			s.view.group.hear(reply)
		}
		if err == nil && reply.Status != ledger.StatusInactive && reply.Status != ledger.StatusViewDiffers {
			return reply, nil
		}
		if !s.view.isCurrent() {
			return reply, errListChanged
		}
		if !actor.Sleep(ctx, spreadRetry) {
			return reply, ctx.Err()
		}
	}
}
