package replica

import (
	"context"
	"slices"

	"peridotwinch.example/peridotwinch/internal/consensus"
	"peridotwinch.example/peridotwinch/internal/rpc/consensuspb"
)

// heartbeatAnswer is a call of another replica that waits for the response to
// its heartbeat.
type heartbeatAnswer struct {
	to     consensus.ReplicaID
	answer chan<- consensus.Message
}

// answerHeartbeats hands heartbeat responses to the calls that wait for them and
// returns the other messages.
func (r *Replica) answerHeartbeats(messages []consensus.Message) []consensus.Message {
	if len(r.answers) == 0 {
		return messages
	}
	return slices.DeleteFunc(messages, func(m consensus.Message) bool {
		if m.Type != consensus.MessageHeartbeatResponse {
			return false
		}
		i := slices.IndexFunc(r.answers, func(a heartbeatAnswer) bool { return a.to == m.To })
		if i < 0 {
			return false
		}
		r.answers[i].answer <- m
		close(r.answers[i].answer)
		r.answers = slices.Delete(r.answers, i, i+1)
		return true
	})
}

// endAnswers ends the calls whose heartbeats led to no response.
func (r *Replica) endAnswers() {
	for _, waiting := range r.answers {
		close(waiting.answer)
	}
	r.answers = nil
}

// stepAnswer feeds the answer to heartbeats to the core.
func (r *Replica) stepAnswer(ctx context.Context, m *consensuspb.Message) {
	r.do(ctx, func() { r.core.Step(fromMessage(m)) })
}
