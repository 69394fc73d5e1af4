package replica

import (
	"context"
	"io"
	"slices"

	"github.com/pkg/errors"
	"storj.io/drpc"

	"peridotwinch.example/peridotwinch/internal/consensus"
	"peridotwinch.example/peridotwinch/internal/rpc/consensuspb"
)

// maxSnapshotBytes limits the size of a snapshot that a replica receives.
const maxSnapshotBytes = 256 << 20

// Register adds the replica's RPCs to a server.
func (r *Replica) Register(mux drpc.Mux) error {
	return consensuspb.DRPCRegisterConsensus(mux, &service{replica: r})
}

// service implements the Consensus service for other replicas.
type service struct {
	replica *Replica
}

// Send implements the Send RPC of the Consensus service. The response to heartbeats is part
// of the RPC's response, which saves an RPC in the other direction. Other messages are only
// queued; the core's responses to them are sent in RPCs of their own, and those to entries
// only after the entries are durable.
func (s *service) Send(ctx context.Context, envelope *consensuspb.Envelope) (*consensuspb.SendResponse, error) {
	heartbeatResponse := make(chan consensus.Message, 1)
	response := &consensuspb.SendResponse{}
	if !envelope.GetTakesAnswers() || !containsOnlyHeartbeats(envelope) {
		return response, s.replica.step(ctx, envelope.GetGroup(), envelope.GetInstance(), envelope.GetMessages(), nil)
	}
	if err := s.replica.step(ctx, envelope.GetGroup(), envelope.GetInstance(), envelope.GetMessages(), heartbeatResponse); err != nil {
		return nil, err
	}
	select {
	case m, ok := <-heartbeatResponse:
		if ok {
			response.Message = toMessage(m)
		}
		return response, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// containsOnlyHeartbeats reports whether an envelope contains only heartbeats, all of one
// replica.
func containsOnlyHeartbeats(envelope *consensuspb.Envelope) bool {
	messages := envelope.GetMessages()
	if len(messages) == 0 {
		return false
	}
	return !slices.ContainsFunc(messages, func(m *consensuspb.Message) bool {
		return consensus.MessageType(m.GetType()) != consensus.MessageHeartbeat || m.GetFrom() != messages[0].GetFrom()
	})
}

// step queues messages of this replica's group for the core. If heartbeatResponse is not
// nil, it receives the core's response to the heartbeats, and is then closed; it is closed
// without a response if there is none.
func (r *Replica) step(ctx context.Context, group, instance string, messages []*consensuspb.Message, heartbeatResponse chan<- consensus.Message) error {
	if group == "" || group != r.transport.currentGroup() {
		r.recordGroupMember(group, instance)
		return errors.Errorf("message of group %q rejected: this replica does not belong to the group", group)
	}
	decoded := make([]consensus.Message, 0, len(messages))
	for _, m := range messages {
		decoded = append(decoded, fromMessage(m))
		r.transport.recordInstance(consensus.ReplicaID(m.GetFrom()), instance)
	}
	accepted := r.enqueue(ctx, func() {
		if heartbeatResponse != nil {
			r.pendingHeartbeats = append(r.pendingHeartbeats, pendingHeartbeat{sender: decoded[0].From, response: heartbeatResponse})
		}
		for _, m := range decoded {
			r.core.Step(m)
		}
	})
	if !accepted {
		return errors.New("the replica did not accept the messages before the call ended")
	}
	return nil
}

// Install implements the Install RPC of the Consensus service.
func (s *service) Install(stream consensuspb.DRPCConsensus_InstallStream) error {
	first, err := stream.Recv()
	if err != nil {
		return errors.Wrap(err, "receive a snapshot")
	}
	if first.GetMessage().GetSnapshot() == nil {
		return errors.New("the first part of a snapshot does not identify the snapshot")
	}
	data := first.GetData()
	for {
		part, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return errors.Wrap(err, "receive a snapshot")
		}
		data = append(data, part.GetData()...)
		if len(data) > maxSnapshotBytes {
			return errors.New("the snapshot exceeds the size limit")
		}
	}
	first.Message.Snapshot.Data = data
	if err := s.replica.step(stream.Context(), first.GetGroup(), first.GetInstance(), []*consensuspb.Message{first.Message}, nil); err != nil {
		return err
	}
	return stream.SendAndClose(&consensuspb.Empty{})
}

// Hello implements the Hello RPC of the Consensus service.
func (s *service) Hello(context.Context, *consensuspb.HelloRequest) (*consensuspb.HelloResponse, error) {
	return s.replica.helloResponse(), nil
}

func (r *Replica) helloResponse() *consensuspb.HelloResponse {
	r.identityMu.Lock()
	id := r.identity
	r.identityMu.Unlock()
	status := r.Status()
	return &consensuspb.HelloResponse{
		Instance: r.instanceName(), Replica: uint64(id.Replica), Group: id.Group,
		Initial: toMembership(id.Initial), Current: toMembership(status.Membership), Applied: status.Applied, Domain: r.settings.FailureDomain,
	}
}

// Join implements the Join RPC of the Consensus service.
func (s *service) Join(ctx context.Context, request *consensuspb.JoinRequest) (*consensuspb.JoinResponse, error) {
	r := s.replica
	if request.GetGroup() != r.transport.currentGroup() {
		return nil, errors.New("join request rejected: this replica belongs to another group")
	}
	accepted := make(chan bool, 1)
	if !r.enqueue(ctx, func() { accepted <- r.addLearner(request) }) {
		return &consensuspb.JoinResponse{}, nil
	}
	select {
	case ok := <-accepted:
		return &consensuspb.JoinResponse{Accepted: ok}, nil
	case <-ctx.Done():
		return &consensuspb.JoinResponse{}, nil
	}
}

// Propose implements the Propose RPC of the Consensus service.
func (s *service) Propose(ctx context.Context, request *consensuspb.ProposeRequest) (*consensuspb.ProposeResponse, error) {
	outcome, err := s.replica.proposeLocally(ctx, request.GetCommand())
	if err != nil {
		return &consensuspb.ProposeResponse{}, nil
	}
	return &consensuspb.ProposeResponse{Outcome: outcome}, nil
}

// ReadIndex implements the ReadIndex RPC of the Consensus service.
func (s *service) ReadIndex(ctx context.Context, _ *consensuspb.Empty) (*consensuspb.ReadIndexResponse, error) {
	index, err := s.replica.readIndexLocally(ctx)
	return &consensuspb.ReadIndexResponse{Confirmed: err == nil, Index: index}, nil
}
