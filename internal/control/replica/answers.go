package replica

import (
	"context"
	"slices"

	"peridotwinch.example/peridotwinch/internal/consensus"
	"peridotwinch.example/peridotwinch/internal/rpc/consensuspb"
)

// pendingHeartbeat is a Send RPC of another replica that blocks until the core has
// produced the response to its heartbeat.
type pendingHeartbeat struct {
	sender   consensus.ReplicaID
	response chan<- consensus.Message
}

// respondToHeartbeats passes heartbeat responses to the pending Send RPCs and returns the
// other messages, which the transport sends.
func (r *Replica) respondToHeartbeats(messages []consensus.Message) []consensus.Message {
	if len(r.pendingHeartbeats) == 0 {
		return messages
	}
	return slices.DeleteFunc(messages, func(m consensus.Message) bool {
		if m.Type != consensus.MessageHeartbeatResponse {
			return false
		}
		i := slices.IndexFunc(r.pendingHeartbeats, func(p pendingHeartbeat) bool { return p.sender == m.To })
		if i < 0 {
			return false
		}
		r.pendingHeartbeats[i].response <- m
		close(r.pendingHeartbeats[i].response)
		r.pendingHeartbeats = slices.Delete(r.pendingHeartbeats, i, i+1)
		return true
	})
}

// closePendingHeartbeats ends the Send RPCs whose heartbeats produced no response.
func (r *Replica) closePendingHeartbeats() {
	for _, pending := range r.pendingHeartbeats {
		close(pending.response)
	}
	r.pendingHeartbeats = nil
}

// stepHeartbeatResponse passes a heartbeat response, received in the response of a Send
// RPC, to the core.
func (r *Replica) stepHeartbeatResponse(ctx context.Context, m *consensuspb.Message) {
	r.enqueue(ctx, func() { r.core.Step(fromMessage(m)) })
}
