package replica

import (
	"context"
	"io"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc"

	"peridotwinch.example/peridotwinch/internal/ledger"
	"peridotwinch.example/peridotwinch/internal/ledger/wire"
	"peridotwinch.example/peridotwinch/internal/rpc/ledgerpb"
)

// copyProgressTimeout is the maximum time between two messages of a copy stream.
const copyProgressTimeout = 5 * time.Second

// recoveryEpochRange is the range of the random part of a recovery's epoch. The
// index of the member alone does not make the epoch unique: a member of an old list
// and another one of a new list may have the same index.
const recoveryEpochRange = 1 << 16

// recover raises the epoch at a majority of the members of the list, not counting
// this replica, copies the records of those members, and installs the union.
func (mgr *manager) recover(ctx context.Context, list ledger.MemberList, metas map[string]ledger.Meta) error {
	needed := ledger.Majority(len(list.Members))
	sources := mgr.recoverySources(list, metas)
	if len(sources) < needed {
		return errors.Errorf(
			"%d of %d members are available as recovery sources, %d are required",
			len(sources), len(list.Members), needed)
	}
	var highest uint64
	for _, meta := range metas {
		highest = max(highest, meta.Epoch)
	}
	epoch := ledger.NextEpoch(highest+rand.Uint64N(recoveryEpochRange)*ledger.MaxMembers, slices.Index(list.Members, mgr.self))
	mgr.log.Info().Uint64("epoch", epoch).Strs("members", list.Members).Msg("recovering the replica from the other members")
	copies := mgr.collectCopies(ctx, sources, epoch, needed)
	recovered := false
	err := mgr.replica.Update(ctx, func(state *ledger.State) []ledger.Entry {
		var entries []ledger.Entry
		recovered, entries = state.Recover(epoch, list, copies)
		return entries
	})
	if err == nil && !recovered {
		err = errors.Errorf(
			"the recovery was rejected: %d members sent a copy at epoch %d, %d are required",
			len(copies), epoch, needed)
	}
	return err
}

// recoverySources returns the other members of the list that are active and no
// longer grant claims of an older list.
func (mgr *manager) recoverySources(list ledger.MemberList, metas map[string]ledger.Meta) []member {
	var sources []member
	for _, instance := range list.Members {
		meta := metas[instance]
		if meta.Phase != ledger.PhaseActive || !meta.CanBeSourceFor(list) {
			continue
		}
		if source, ok := mgr.clients.lookup(list, instance); ok {
			sources = append(sources, source)
		}
	}
	return sources
}

// collectCopies copies all sources concurrently and returns the first complete
// copies: as many as needed, or fewer if the other sources fail.
func (mgr *manager) collectCopies(ctx context.Context, sources []member, epoch uint64, needed int) []ledger.ReplicaCopy {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan *ledger.ReplicaCopy, len(sources))
	for _, source := range sources {
		go func() {
			result, err := copyFrom(ctx, mgr.group, source, epoch)
			if err != nil {
				mgr.log.Debug().Err(err).Str("member", source.instance).Msg("failed to copy the records of a member")
			}
			results <- result
		}()
	}
	var copies []ledger.ReplicaCopy
	for range sources {
		if result := <-results; result != nil {
			copies = append(copies, *result)
		}
		if len(copies) == needed {
			break
		}
	}
	return copies
}

// copyFrom raises the epoch at another member and then reads a complete copy of its
// state. It fails if the stream makes no progress for copyProgressTimeout.
func copyFrom(ctx context.Context, group ledger.GroupID, source member, epoch uint64) (*ledger.ReplicaCopy, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	progressTimer := time.AfterFunc(copyProgressTimeout, cancel)
	defer progressTimer.Stop()
	result := &ledger.ReplicaCopy{Records: make(map[ledger.KeyHash]*ledger.Record)}
	err := source.client.Do(ctx, func(ctx context.Context, conn drpc.Conn) error {
		request := &ledgerpb.RecoverRequest{Group: string(group), Epoch: epoch}
		stream, err := ledgerpb.NewDRPCLedgerClient(conn).Recover(ctx, request)
		if err != nil {
			return err
		}
		defer func() { _ = stream.Close() }()
		return receiveCopy(stream, result, func() { progressTimer.Reset(copyProgressTimeout) })
	})
	if err != nil {
		return nil, err
	}
	return result, nil
}

// receiveCopy reads a copy stream into result up to the last message, and calls
// progress for each message.
func receiveCopy(stream ledgerpb.DRPCLedger_RecoverClient, result *ledger.ReplicaCopy, progress func()) error {
	for {
		message, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return errors.New("the copy stream ended before its last message")
		}
		if err != nil {
			return err
		}
		progress()
		if message.Meta != nil {
			result.Meta = wire.ToMeta(message.Meta)
		}
		records, err := decodeRecords(message.Entries)
		if err != nil {
			return err
		}
		for key, record := range records {
			result.Records[key] = record
		}
		if message.Last {
			return nil
		}
	}
}
