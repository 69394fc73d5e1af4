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

// attemptTimeout limits one attempt of a proposal or a read; the next attempt may reach
// another leader.
const attemptTimeout = time.Second

// errOutcomeUnknown reports that an attempt ended without an outcome. A proposed command may
// still be committed.
var errOutcomeUnknown = errors.New("the attempt ended without an outcome")

// proposal is a command that the leader has appended to its log in the given term, and that
// is not applied yet. It sends nil if the outcome is unknown.
type proposal struct {
	term    uint64
	outcome chan<- []byte
}

// Propose commits a command through the leader, on this or another instance, and returns
// the outcome of applying it. A retry may commit the command more than once, so applying it
// must be idempotent by means of its request ID. If ctx ends first, Propose returns an error
// with api.CodeNoQuorum, and the outcome is unknown.
func (r *Replica) Propose(ctx context.Context, command []byte) ([]byte, error) {
	for {
		if outcome, err := r.proposeOnce(ctx, command); err == nil {
			return outcome, nil
		}
		if !actor.Sleep(ctx, retryDelay) {
			return nil, api.Errorf(api.CodeNoQuorum, "no majority of the control replicas has responded in time")
		}
	}
}

// proposeOnce makes one attempt to commit a command.
func (r *Replica) proposeOnce(ctx context.Context, command []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	leader := r.transport.peerOf(r.Status().Leader)
	if leader == nil {
		return r.proposeLocally(ctx, command)
	}
	var outcome []byte
	err := leader.client.Do(ctx, func(ctx context.Context, conn drpc.Conn) error {
		response, err := consensuspb.NewDRPCConsensusClient(conn).Propose(ctx, &consensuspb.ProposeRequest{Command: command})
		outcome = response.GetOutcome()
		return err
	})
	if err == nil && len(outcome) == 0 {
		err = errOutcomeUnknown
	}
	return outcome, err
}

// proposeLocally commits a command if this replica is the leader.
func (r *Replica) proposeLocally(ctx context.Context, command []byte) ([]byte, error) {
	result := make(chan []byte, 1)
	if !r.enqueue(ctx, func() { r.startProposal(command, result) }) {
		return nil, errOutcomeUnknown
	}
	select {
	case outcome := <-result:
		if outcome == nil {
			return nil, errOutcomeUnknown
		}
		return outcome, nil
	case <-ctx.Done():
		return nil, errOutcomeUnknown
	}
}

func (r *Replica) startProposal(command []byte, outcome chan<- []byte) {
	index, term, err := r.core.Propose(command)
	if err != nil {
		outcome <- nil
		return
	}
	r.pendingProposals[index] = &proposal{term: term, outcome: outcome}
}

// finishProposal reports the outcome to the proposal at the entry's index. If the entry has
// another term, another leader's entry has replaced the proposed one.
func (r *Replica) finishProposal(entry *consensus.Entry, outcome []byte) {
	p := r.pendingProposals[entry.Index]
	if p == nil {
		return
	}
	delete(r.pendingProposals, entry.Index)
	if p.term != entry.Term {
		outcome = nil
	}
	p.outcome <- outcome
}

// failProposals ends all pending proposals without an outcome.
func (r *Replica) failProposals() {
	for index, p := range r.pendingProposals {
		p.outcome <- nil
		delete(r.pendingProposals, index)
	}
}

// Barrier blocks until the state machine has applied all entries that were committed before
// the call. If ctx ends first, it returns an error with api.CodeNoQuorum.
func (r *Replica) Barrier(ctx context.Context) error {
	for {
		index, err := r.readIndexOnce(ctx)
		if err == nil {
			return r.waitApplied(ctx, index)
		}
		if !actor.Sleep(ctx, retryDelay) {
			return api.Errorf(api.CodeNoQuorum, "no majority of the control replicas has responded in time")
		}
	}
}

// readIndexOnce makes one attempt to obtain a read index from the leader.
func (r *Replica) readIndexOnce(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	leader := r.transport.peerOf(r.Status().Leader)
	if leader == nil {
		return r.readIndexLocally(ctx)
	}
	response := &consensuspb.ReadIndexResponse{}
	err := leader.client.Do(ctx, func(ctx context.Context, conn drpc.Conn) error {
		var err error
		response, err = consensuspb.NewDRPCConsensusClient(conn).ReadIndex(ctx, &consensuspb.Empty{})
		return err
	})
	if err == nil && !response.GetConfirmed() {
		err = errOutcomeUnknown
	}
	return response.GetIndex(), err
}

// readIndexLocally returns a read index if this replica is the leader.
func (r *Replica) readIndexLocally(ctx context.Context) (uint64, error) {
	result := make(chan uint64, 1)
	if !r.enqueue(ctx, func() { r.startRead(result) }) {
		return 0, errOutcomeUnknown
	}
	select {
	case index, ok := <-result:
		if !ok {
			return 0, errOutcomeUnknown
		}
		return index, nil
	case <-ctx.Done():
		return 0, errOutcomeUnknown
	}
}

// startRead requests a read index from the core. It closes result if this replica is not
// the leader.
func (r *Replica) startRead(result chan<- uint64) {
	r.lastReadContext++
	if err := r.core.ReadIndex(r.lastReadContext); err != nil {
		close(result)
		return
	}
	r.pendingReads[r.lastReadContext] = result
}

func (r *Replica) finishRead(context, index uint64) {
	if result := r.pendingReads[context]; result != nil {
		result <- index
		delete(r.pendingReads, context)
	}
}

// failReads ends all pending reads without a read index.
func (r *Replica) failReads() {
	for context, result := range r.pendingReads {
		close(result)
		delete(r.pendingReads, context)
	}
}

// waitApplied blocks until this replica has applied the entry at index.
func (r *Replica) waitApplied(ctx context.Context, index uint64) error {
	for r.Status().Applied < index {
		if !actor.Sleep(ctx, retryDelay) {
			return api.Errorf(api.CodeNoQuorum, "this control replica has not applied all committed entries in time")
		}
	}
	return nil
}
