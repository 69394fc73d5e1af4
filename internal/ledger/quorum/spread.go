package quorum

import (
	"context"
	"time"

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

// spread sends an operation to every replica until all have it on disk.
type spread struct {
	group *group
	// message returns the operation at the epoch that is known now.
	message func() *ledgerpb.Operation
	// want is the status of a replica that has taken the operation.
	want ledger.Status
	acks *ledger.Acks
	// replies takes one reply of each member that has been told.
	replies chan memberReply
	told    int
	durable chan error
}

// release returns once a majority has the release on disk. The rest goes on
// beside the caller.
func (g *group) release(ctx context.Context, r ledger.ClaimRequest) error {
	message := func() *ledgerpb.Operation { return g.message(ledgerpb.OperationKind_RELEASE, r) }
	return g.spread(ctx, message, ledger.StatusReleased)
}

// complete returns once a majority has the answer on disk. The rest goes on
// beside the caller.
func (g *group) complete(ctx context.Context, r ledger.ClaimRequest, answer ledger.Answer) error {
	stored := wire.FromAnswer(answer.Bounded())
	message := func() *ledgerpb.Operation {
		out := g.message(ledgerpb.OperationKind_COMPLETE, r)
		out.Answer = stored
		return out
	}
	return g.spread(ctx, message, ledger.StatusCompleted)
}

func (g *group) spread(ctx context.Context, message func() *ledgerpb.Operation, want ledger.Status) error {
	s := &spread{
		group:   g,
		message: message,
		want:    want,
		acks:    ledger.NewAcks(len(g.replicas)),
		replies: make(chan memberReply),
		durable: make(chan error, 1),
	}
	background, cancel := context.WithTimeout(context.WithoutCancel(ctx), spreadTimeout)
	go func() {
		defer cancel()
		s.run(background)
	}()
	select {
	case err := <-s.durable:
		return err
	case <-ctx.Done():
		return g.noMajority()
	}
}

// run ends when every member has taken the operation in the newest epoch, or
// has failed.
func (s *spread) run(ctx context.Context) {
	for member := range s.group.replicas {
		s.tell(ctx, member)
	}
	settled := false
	for s.told > 0 {
		s.take(ctx, <-s.replies)
		if s.acks.Durable() && !settled {
			settled = true
			s.durable <- nil
		}
	}
	if !settled {
		s.durable <- s.group.noMajority()
	}
}

func (s *spread) take(ctx context.Context, got memberReply) {
	s.told--
	if got.err != nil || got.reply.Status != s.want {
		return
	}
	s.group.learn(got.reply.Epoch)
	s.acks.Add(got.member, got.reply.Epoch)
	for _, member := range s.acks.Outdated() {
		s.acks.Forget(member)
		s.tell(ctx, member)
	}
}

func (s *spread) tell(ctx context.Context, member int) {
	s.told++
	go func() {
		reply, err := s.deliver(ctx, s.group.replicas[member])
		s.replies <- memberReply{member, reply, err}
	}()
}

// deliver repeats the operation until the replica has answered as an active one.
func (s *spread) deliver(ctx context.Context, replica *replicaClient) (ledger.Reply, error) {
	for {
		reply, err := replica.do(ctx, s.message())
		if err == nil && reply.Status != ledger.StatusInactive {
			return reply, nil
		}
		if !actor.Sleep(ctx, spreadRetry) {
			return reply, ctx.Err()
		}
	}
}
