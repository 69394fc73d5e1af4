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

// copyProgressTimeout bounds the time between two messages of a copy.
const copyProgressTimeout = 5 * time.Second

// recoveryRange is the range of the random part of a recovery's epoch: members
// of an old and a new list may have the same place in theirs.
const recoveryRange = 1 << 16

// recover raises the epoch at a majority of the list that does not count this
// replica, copies what those members hold, and takes the union.
func (j *joiner) recover(ctx context.Context, list ledger.MemberList, metas map[string]ledger.Meta) error {
	needed := ledger.Majority(len(list.Members))
	sources := j.sources(list, metas)
	if len(sources) < needed {
		return errors.Errorf("%d of %d members can be copied, a recovery needs %d others", len(sources), len(list.Members), needed)
	}
	var highest uint64
	for _, meta := range metas {
		highest = max(highest, meta.Epoch)
	}
	epoch := ledger.NextEpoch(highest+rand.Uint64N(recoveryRange)*ledger.MaxMembers, slices.Index(list.Members, j.self))
	j.log.Info().Uint64("epoch", epoch).Strs("members", list.Members).Msg("recovering from the other members")
	copies := j.copies(ctx, sources, epoch, needed)
	recovered := false
	err := j.replica.Update(ctx, func(state *ledger.State) []ledger.Change {
		var changes []ledger.Change
		recovered, changes = state.Recover(epoch, list, copies)
		return changes
	})
	if err == nil && !recovered {
		err = errors.Errorf("%d members gave a copy at epoch %d, %d are needed", len(copies), epoch, needed)
	}
	return err
}

// sources returns the other members of the list that are active and grant to
// claims of no older list.
func (j *joiner) sources(list ledger.MemberList, metas map[string]ledger.Meta) []member {
	var out []member
	for _, instance := range list.Members {
		meta := metas[instance]
		if meta.Phase != ledger.PhaseActive || !meta.Keeps(list) {
			continue
		}
		if one, ok := j.directory.reach(list, instance); ok {
			out = append(out, one)
		}
	}
	return out
}

// copies returns the first whole copies, as many as are needed if they come.
func (j *joiner) copies(ctx context.Context, sources []member, epoch uint64, needed int) []ledger.Copy {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan *ledger.Copy, len(sources))
	for _, source := range sources {
		go func() {
			one, err := copyFrom(ctx, j.group, source, epoch)
			if err != nil {
				j.log.Debug().Err(err).Str("member", source.instance).Msg("no copy")
			}
			answers <- one
		}()
	}
	var copies []ledger.Copy
	for range sources {
		if one := <-answers; one != nil {
			copies = append(copies, *one)
		}
		if len(copies) == needed {
			break
		}
	}
	return copies
}

// copyFrom reads a whole copy of another member at the raised epoch.
func copyFrom(ctx context.Context, group ledger.GroupID, other member, epoch uint64) (*ledger.Copy, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(copyProgressTimeout, cancel)
	defer silence.Stop()
	out := &ledger.Copy{Records: make(map[ledger.KeyHash]*ledger.Record)}
	err := other.client.Do(ctx, func(ctx context.Context, conn drpc.Conn) error {
		request := &ledgerpb.RecoverRequest{Group: string(group), Epoch: epoch}
		stream, err := ledgerpb.NewDRPCLedgerClient(conn).Recover(ctx, request)
		if err != nil {
			return err
		}
		defer func() { _ = stream.Close() }()
		return receiveCopy(stream, out, func() { silence.Reset(copyProgressTimeout) })
	})
	if err != nil {
		return nil, err
	}
	return out, nil
}

func receiveCopy(stream ledgerpb.DRPCLedger_RecoverClient, out *ledger.Copy, progress func()) error {
	for {
		message, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return errors.New("the copy ended early")
		}
		if err != nil {
			return err
		}
		progress()
		if message.Meta != nil {
			out.Meta = wire.ToMeta(message.Meta)
		}
		records, err := toRecords(message.Entries)
		if err != nil {
			return err
		}
		for key, record := range records {
			out.Records[key] = record
		}
		if message.Last {
			return nil
		}
	}
}
