package replica

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"peridotwinch.example/peridotwinch/internal/ledger"
	"peridotwinch.example/peridotwinch/internal/ledger/wire"
	"peridotwinch.example/peridotwinch/internal/rpc/ledgerpb"
)

// copyEntries bounds the records of one message of a copy.
const copyEntries = 1024

// service answers the RPCs for all groups of the daemon.
type service struct {
	joiners map[ledger.GroupID]*joiner
}

func (s *service) replica(group string) (*Replica, error) {
	j, err := s.joiner(group)
	if err != nil {
		return nil, err
	}
	return j.replica, nil
}

func (s *service) joiner(group string) (*joiner, error) {
	if j := s.joiners[ledger.GroupID(group)]; j != nil {
		return j, nil
	}
	return nil, errors.Errorf("no replica of the group %q", group)
}

// Operate implements ledgerpb.DRPCLedgerServer.
func (s *service) Operate(ctx context.Context, in *ledgerpb.OperateRequest) (*ledgerpb.OperateResponse, error) {
	r, err := s.replica(in.Group)
	if err != nil {
		return nil, err
	}
	out := &ledgerpb.OperateResponse{Results: make([]*ledgerpb.Result, len(in.Operations))}
	operations, err := decodeOperations(in.Operations)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	err = r.Update(ctx, func(state *ledger.State) []ledger.Change {
		var changes []ledger.Change
		for i, operation := range operations {
			reply, more := operation.apply(now, state)
			out.Results[i] = wire.FromReply(reply)
			changes = append(changes, more...)
		}
		return changes
	})
	return out, err
}

// operation is a decoded operation.
type operation struct {
	kind    ledgerpb.OperationKind
	request ledger.ClaimRequest
	answer  ledger.Answer
}

func decodeOperations(in []*ledgerpb.Operation) ([]operation, error) {
	out := make([]operation, len(in))
	for i, message := range in {
		request, err := wire.ToClaim(message)
		if err != nil {
			return nil, err
		}
		out[i] = operation{kind: message.Kind, request: request}
		if message.Kind != ledgerpb.OperationKind_COMPLETE {
			continue
		}
		answer, err := wire.ToAnswer(message.Answer)
		if err != nil {
			return nil, err
		}
		if answer == nil {
			return nil, errors.New("a completion without an answer")
		}
		out[i].answer = *answer
	}
	return out, nil
}

func (o operation) apply(now time.Time, state *ledger.State) (ledger.Reply, []ledger.Change) {
	switch o.kind {
	case ledgerpb.OperationKind_CLAIM:
		return state.Claim(now, o.request)
	case ledgerpb.OperationKind_RELEASE:
		return state.Release(now, o.request)
	case ledgerpb.OperationKind_COMPLETE:
		return state.Complete(now, o.request, o.answer)
	default:
		return state.Read(now, o.request), nil
	}
}

// GetStatus implements ledgerpb.DRPCLedgerServer.
func (s *service) GetStatus(ctx context.Context, in *ledgerpb.StatusRequest) (*ledgerpb.StatusResponse, error) {
	r, err := s.replica(in.Group)
	if err != nil {
		return nil, err
	}
	out := &ledgerpb.StatusResponse{}
	err = r.Update(ctx, func(state *ledger.State) []ledger.Change {
		out.Meta, out.Records = wire.FromMeta(state.Meta()), uint64(state.Len())
		return nil
	})
	return out, err
}

// Form implements ledgerpb.DRPCLedgerServer.
func (s *service) Form(ctx context.Context, in *ledgerpb.FormRequest) (*ledgerpb.FormResponse, error) {
	j, err := s.joiner(in.Group)
	if err != nil {
		return nil, err
	}
	out := &ledgerpb.FormResponse{}
	formation, agreed := j.agree(in)
	if !agreed {
		return out, nil
	}
	err = j.replica.Update(ctx, func(state *ledger.State) []ledger.Change {
		var changes []ledger.Change
		if in.Commit {
			out.Accepted, changes = state.CommitFormation(in.Generation)
		} else {
			out.Accepted, changes = state.PrepareFormation(formation)
		}
		return changes
	})
	return out, err
}

// agree returns the formation that a coordinator proposes, if the settings of
// this daemon name the same members and shards.
func (j *joiner) agree(in *ledgerpb.FormRequest) (ledger.Formation, bool) {
	if in.Commit {
		return ledger.Formation{}, true
	}
	formation := j.formation
	formation.Generation = in.Generation
	same := slices.Equal(in.Members, formation.List.Members)
	return formation, same && int(in.Shards) == formation.Shards && in.Layout == formation.Layout
}

// Change implements ledgerpb.DRPCLedgerServer.
func (s *service) Change(ctx context.Context, in *ledgerpb.ChangeRequest) (*ledgerpb.ChangeResponse, error) {
	r, err := s.replica(in.Group)
	if err != nil {
		return nil, err
	}
	out := &ledgerpb.ChangeResponse{}
	err = r.Update(ctx, func(state *ledger.State) []ledger.Change {
		var changes []ledger.Change
		if next := wire.ToList(in.Next); next != nil {
			out.Accepted, changes = state.AcceptChange(in.Epoch, in.Base, *next)
		} else {
			out.Accepted, changes = state.PromiseChange(in.Epoch, in.Base)
		}
		out.Meta = wire.FromMeta(state.Meta())
		return changes
	})
	return out, err
}

// Restart implements ledgerpb.DRPCLedgerServer.
func (s *service) Restart(ctx context.Context, in *ledgerpb.RestartRequest) (*ledgerpb.RestartResponse, error) {
	r, err := s.replica(in.Group)
	if err != nil {
		return nil, err
	}
	records, err := toRecords(in.Entries)
	if err != nil {
		return nil, err
	}
	meta := ledger.Meta{
		Generation:      in.Generation,
		Epoch:           in.Epoch,
		Members:         in.Members,
		Addresses:       in.Addresses,
		Since:           in.Epoch,
		Shards:          int(in.Shards),
		QuarantineUntil: in.QuarantineUntil,
	}
	out := &ledgerpb.RestartResponse{}
	err = r.Update(ctx, func(state *ledger.State) []ledger.Change {
		var changes []ledger.Change
		out.Accepted, changes = state.Restart(meta, records)
		return changes
	})
	return out, err
}

func toRecords(entries []*ledgerpb.Entry) (map[ledger.KeyHash]*ledger.Record, error) {
	out := make(map[ledger.KeyHash]*ledger.Record, len(entries))
	for _, entry := range entries {
		change, err := wire.ToChange(entry)
		if err != nil {
			return nil, err
		}
		out[change.Key] = change.Record
	}
	return out, nil
}

// Recover implements ledgerpb.DRPCLedgerServer.
func (s *service) Recover(in *ledgerpb.RecoverRequest, stream ledgerpb.DRPCLedger_RecoverStream) error {
	r, err := s.replica(in.Group)
	if err != nil {
		return err
	}
	raised := false
	err = r.Update(stream.Context(), func(state *ledger.State) []ledger.Change {
		var changes []ledger.Change
		raised, changes = state.RaiseEpoch(in.Epoch)
		return changes
	})
	if err != nil {
		return err
	}
	if !raised {
		meta, _ := r.Meta()
		return stream.Send(&ledgerpb.RecoverResponse{Meta: wire.FromMeta(meta)})
	}
	return sendCopy(stream, r.Copy())
}

func sendCopy(stream ledgerpb.DRPCLedger_RecoverStream, changes []ledger.Change) error {
	if err := stream.Send(&ledgerpb.RecoverResponse{Meta: wire.FromMeta(*changes[0].Meta)}); err != nil {
		return err
	}
	changes = changes[1:]
	for len(changes) > 0 {
		count := min(len(changes), copyEntries)
		if err := stream.Send(&ledgerpb.RecoverResponse{Entries: fromChanges(changes[:count])}); err != nil {
			return err
		}
		changes = changes[count:]
	}
	return stream.Send(&ledgerpb.RecoverResponse{Last: true})
}

func fromChanges(changes []ledger.Change) []*ledgerpb.Entry {
	out := make([]*ledgerpb.Entry, len(changes))
	for i, change := range changes {
		out[i] = wire.FromChange(change)
	}
	return out
}
