package replica

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/actor"
	"peridotwinch.example/peridotwinch/internal/consensus"
	"peridotwinch.example/peridotwinch/internal/rpc/consensuspb"
)

// attemptTimeout bounds one attempt at a proposal or read; the next attempt may
// reach another leader.
const attemptTimeout = time.Second

// errNotCommitted says that an attempt did not learn its outcome.
var errNotCommitted = errors.New("the outcome is not known")

// proposal waits for the entry at its index.
type proposal struct {
	term uint64
	done chan<- []byte
}

// Propose gets a command committed and returns its outcome, through the leader
// wherever that is. It may commit a command more than once, which the command's
// own request ID has to make harmless. CodeNoQuorum says that the outcome is
// not known when ctx ends.
func (r *Replica) Propose(ctx context.Context, command []byte) ([]byte, error) {
	for {
		if outcome, err := r.attemptPropose(ctx, command); err == nil {
			return outcome, nil
		}
		if !actor.Sleep(ctx, retryDelay) {
			return nil, api.Errorf(api.CodeNoQuorum, "no majority of the control replicas has answered in time")
		}
	}
}

func (r *Replica) attemptPropose(ctx context.Context, command []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	leader := r.transport.peerOf(r.Status().Leader)
	if leader == nil {
		return r.proposeHere(ctx, command)
	}
	var outcome []byte
	err := leader.client.Do(ctx, func(ctx context.Context, conn drpc.Conn) error {
		response, err := consensuspb.NewDRPCConsensusClient(conn).Propose(ctx, &consensuspb.ProposeRequest{Command: command})
		outcome = response.GetOutcome()
		return err
	})
	if err == nil && len(outcome) == 0 {
		err = errNotCommitted
	}
	return outcome, err
}

// proposeHere proposes where this replica leads.
func (r *Replica) proposeHere(ctx context.Context, command []byte) ([]byte, error) {
	done := make(chan []byte, 1)
	if !r.do(ctx, func() { r.startProposal(command, done) }) {
		return nil, errNotCommitted
	}
	select {
	case outcome := <-done:
		if outcome == nil {
			return nil, errNotCommitted
		}
		return outcome, nil
	case <-ctx.Done():
		return nil, errNotCommitted
	}
}

func (r *Replica) startProposal(command []byte, done chan<- []byte) {
	index, term, err := r.core.Propose(command)
	if err != nil {
		done <- nil
		return
	}
	r.proposals[index] = &proposal{term: term, done: done}
}

func (r *Replica) finishProposal(entry *consensus.Entry, outcome []byte) {
	p := r.proposals[entry.Index]
	if p == nil {
		return
	}
	delete(r.proposals, entry.Index)
	if p.term != entry.Term {
		outcome = nil
	}
	p.done <- outcome
}

func (r *Replica) failProposals() {
	for index, p := range r.proposals {
		p.done <- nil
		delete(r.proposals, index)
	}
}

// Barrier returns once the state machine has all that was committed before the
// call, or CodeNoQuorum when ctx ends first.
func (r *Replica) Barrier(ctx context.Context) error {
	for {
		index, err := r.attemptRead(ctx)
		if err == nil {
			return r.waitApplied(ctx, index)
		}
		if !actor.Sleep(ctx, retryDelay) {
			return api.Errorf(api.CodeNoQuorum, "no majority of the control replicas has answered in time")
		}
	}
}

func (r *Replica) attemptRead(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	leader := r.transport.peerOf(r.Status().Leader)
	if leader == nil {
		return r.readHere(ctx)
	}
	response := &consensuspb.ReadIndexResponse{}
	err := leader.client.Do(ctx, func(ctx context.Context, conn drpc.Conn) error {
		var err error
		response, err = consensuspb.NewDRPCConsensusClient(conn).ReadIndex(ctx, &consensuspb.Empty{})
		return err
	})
	if err == nil && !response.GetConfirmed() {
		err = errNotCommitted
	}
	return response.GetIndex(), err
}

// readHere asks for a read index where this replica leads.
func (r *Replica) readHere(ctx context.Context) (uint64, error) {
	done := make(chan uint64, 1)
	if !r.do(ctx, func() { r.startRead(done) }) {
		return 0, errNotCommitted
	}
	select {
	case index, ok := <-done:
		if !ok {
			return 0, errNotCommitted
		}
		return index, nil
	case <-ctx.Done():
		return 0, errNotCommitted
	}
}

func (r *Replica) startRead(done chan<- uint64) {
	r.lastRead++
	if err := r.core.ReadIndex(r.lastRead); err != nil {
		close(done)
		return
	}
	r.reads[r.lastRead] = done
}

func (r *Replica) finishRead(context, index uint64) {
	if done := r.reads[context]; done != nil {
		done <- index
		delete(r.reads, context)
	}
}

func (r *Replica) failReads() {
	for context, done := range r.reads {
		close(done)
		delete(r.reads, context)
	}
}

func (r *Replica) waitApplied(ctx context.Context, index uint64) error {
	for r.Status().Applied < index {
		if !actor.Sleep(ctx, retryDelay) {
			return api.Errorf(api.CodeNoQuorum, "this control replica lags behind the leader")
		}
	}
	return nil
}
