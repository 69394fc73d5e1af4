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

// maxCopyEntries is the maximum number of records in one message of a copy stream.
const maxCopyEntries = 1024

// service implements the ledger's RPCs for all groups of the daemon.
type service struct {
	managers map[ledger.GroupID]*manager
}

func (s *service) replica(group string) (*Replica, error) {
	mgr, err := s.manager(group)
	if err != nil {
		return nil, err
	}
	return mgr.replica, nil
}

func (s *service) manager(group string) (*manager, error) {
	if mgr := s.managers[ledger.GroupID(group)]; mgr != nil {
		return mgr, nil
	}
	return nil, errors.Errorf("this instance has no replica of the group %q", group)
}

// Operate implements ledgerpb.DRPCLedgerServer.
func (s *service) Operate(ctx context.Context, in *ledgerpb.OperateRequest) (*ledgerpb.OperateResponse, error) {
	r, err := s.replica(in.Group)
	if err != nil {
		return nil, err
	}
	response := &ledgerpb.OperateResponse{Results: make([]*ledgerpb.Result, len(in.Operations))}
	operations, err := decodeOperations(in.Operations)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	err = r.Update(ctx, func(state *ledger.State) []ledger.Entry {
		var entries []ledger.Entry
		for i, operation := range operations {
			reply, more := operation.apply(now, state)
			response.Results[i] = wire.FromReply(reply)
			entries = append(entries, more...)
		}
		return entries
	})
	return response, err
}

// operation is a decoded ledgerpb.Operation.
type operation struct {
	kind    ledgerpb.OperationKind
	request ledger.ClaimRequest
	answer  ledger.Answer
}

func decodeOperations(messages []*ledgerpb.Operation) ([]operation, error) {
	operations := make([]operation, len(messages))
	for i, message := range messages {
		request, err := wire.ToClaim(message)
		if err != nil {
			return nil, err
		}
		operations[i] = operation{kind: message.Kind, request: request}
		if message.Kind != ledgerpb.OperationKind_COMPLETE {
			continue
		}
		answer, err := wire.ToAnswer(message.Answer)
		if err != nil {
			return nil, err
		}
		if answer == nil {
			return nil, errors.New("the COMPLETE operation has no answer")
		}
		operations[i].answer = *answer
	}
	return operations, nil
}

// apply applies the operation to the state. It handles an unknown kind as a read.
func (o operation) apply(now time.Time, state *ledger.State) (ledger.Reply, []ledger.Entry) {
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
	response := &ledgerpb.StatusResponse{}
	err = r.Update(ctx, func(state *ledger.State) []ledger.Entry {
		response.Meta, response.Records = wire.FromMeta(state.Meta()), uint64(state.Len())
		return nil
	})
	return response, err
}

// Form implements ledgerpb.DRPCLedgerServer.
func (s *service) Form(ctx context.Context, in *ledgerpb.FormRequest) (*ledgerpb.FormResponse, error) {
	mgr, err := s.manager(in.Group)
	if err != nil {
		return nil, err
	}
	response := &ledgerpb.FormResponse{}
	formation, agreed := mgr.proposedFormation(in)
	if !agreed {
		return response, nil
	}
	err = mgr.replica.Update(ctx, func(state *ledger.State) []ledger.Entry {
		var entries []ledger.Entry
		if in.Commit {
			response.Accepted, entries = state.CommitFormation(in.Generation)
		} else {
			response.Accepted, entries = state.PrepareFormation(formation)
		}
		return entries
	})
	return response, err
}

// proposedFormation returns the formation that a coordinator proposes. It returns
// false if the settings of this daemon have other members or shards. A commit is
// not checked here: the state machine compares its generation with the promised one.
func (mgr *manager) proposedFormation(in *ledgerpb.FormRequest) (ledger.Formation, bool) {
	if in.Commit {
		return ledger.Formation{}, true
	}
	formation := mgr.formation
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
	response := &ledgerpb.ChangeResponse{}
	err = r.Update(ctx, func(state *ledger.State) []ledger.Entry {
		var entries []ledger.Entry
		if next := wire.ToList(in.Next); next != nil {
			response.Accepted, entries = state.AcceptChange(in.Epoch, in.Base, *next)
		} else {
			response.Accepted, entries = state.PromiseChange(in.Epoch, in.Base)
		}
		response.Meta = wire.FromMeta(state.Meta())
		return entries
	})
	return response, err
}

// Restart implements ledgerpb.DRPCLedgerServer.
func (s *service) Restart(ctx context.Context, in *ledgerpb.RestartRequest) (*ledgerpb.RestartResponse, error) {
	r, err := s.replica(in.Group)
	if err != nil {
		return nil, err
	}
	records, err := decodeRecords(in.Entries)
	if err != nil {
		return nil, err
	}
	meta := ledger.Meta{
		Generation:      in.Generation,
		Epoch:           in.Epoch,
		Members:         in.Members,
		Addresses:       in.Addresses,
		ListEpoch:       in.Epoch,
		Shards:          int(in.Shards),
		QuarantineUntil: in.QuarantineUntil,
	}
	response := &ledgerpb.RestartResponse{}
	err = r.Update(ctx, func(state *ledger.State) []ledger.Entry {
		var entries []ledger.Entry
		response.Accepted, entries = state.Restart(meta, records)
		return entries
	})
	return response, err
}

// decodeRecords returns the records of entry messages by key.
func decodeRecords(messages []*ledgerpb.Entry) (map[ledger.KeyHash]*ledger.Record, error) {
	records := make(map[ledger.KeyHash]*ledger.Record, len(messages))
	for _, message := range messages {
		entry, err := wire.ToEntry(message)
		if err != nil {
			return nil, err
		}
		records[entry.Key] = entry.Record
	}
	return records, nil
}

// Recover implements ledgerpb.DRPCLedgerServer. It raises the epoch and then sends a
// copy of the state. If the replica rejects the epoch, it sends only its metadata;
// without a last message the caller discards the copy.
func (s *service) Recover(in *ledgerpb.RecoverRequest, stream ledgerpb.DRPCLedger_RecoverStream) error {
	r, err := s.replica(in.Group)
	if err != nil {
		return err
	}
	raised := false
	err = r.Update(stream.Context(), func(state *ledger.State) []ledger.Entry {
		var entries []ledger.Entry
		raised, entries = state.RaiseEpoch(in.Epoch)
		return entries
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

// sendCopy sends the metadata, the records and an empty last message.
func sendCopy(stream ledgerpb.DRPCLedger_RecoverStream, entries []ledger.Entry) error {
	if err := stream.Send(&ledgerpb.RecoverResponse{Meta: wire.FromMeta(*entries[0].Meta)}); err != nil {
		return err
	}
	entries = entries[1:]
	for len(entries) > 0 {
		count := min(len(entries), maxCopyEntries)
		if err := stream.Send(&ledgerpb.RecoverResponse{Entries: encodeEntries(entries[:count])}); err != nil {
			return err
		}
		entries = entries[count:]
	}
	return stream.Send(&ledgerpb.RecoverResponse{Last: true})
}

// encodeEntries returns the messages of entries in the same order.
func encodeEntries(entries []ledger.Entry) []*ledgerpb.Entry {
	messages := make([]*ledgerpb.Entry, len(entries))
	for i, entry := range entries {
		messages[i] = wire.FromEntry(entry)
	}
	return messages
}
