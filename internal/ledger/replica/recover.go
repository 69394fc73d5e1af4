package replica

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc"

	"peridotwinch.example/peridotwinch/internal/ledger"
	"peridotwinch.example/peridotwinch/internal/ledger/wire"
	"peridotwinch.example/peridotwinch/internal/rpc/ledgerpb"
)

// copyProgressTimeout bounds the time between two messages of a copy.
const copyProgressTimeout = 5 * time.Second

// recover raises the epoch at a majority that does not count this replica,
// copies what those members hold, and takes the union.
func (j *joiner) recover(ctx context.Context, active []peerStatus) error {
	needed := ledger.Majority(len(j.names))
	if len(active) < needed {
		return errors.Errorf("%d of %d members are active, a recovery needs %d others", len(active), len(j.names), needed)
	}
	var highest uint64
	for _, status := range active {
		highest = max(highest, status.meta.Epoch)
	}
	epoch := ledger.NextEpoch(highest, j.index())
	j.log.Info().Uint64("epoch", epoch).Msg("recovering from the other members")
	copies := j.copies(ctx, active, epoch, needed)
	recovered := false
	err := j.replica.Update(ctx, func(state *ledger.State) []ledger.Change {
		var changes []ledger.Change
		recovered, changes = state.Recover(epoch, j.names, copies)
		return changes
	})
	if err == nil && !recovered {
		err = errors.Errorf("%d members gave a copy at epoch %d, %d are needed", len(copies), epoch, needed)
	}
	return err
}

func (j *joiner) index() int {
	for i, name := range j.names {
		if name == j.self {
			return i
		}
	}
	return 0
}

// copies returns the first whole copies, as many as are needed if they come.
func (j *joiner) copies(ctx context.Context, active []peerStatus, epoch uint64, needed int) []ledger.Copy {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan *ledger.Copy, len(active))
	for _, status := range active {
		go func() {
			one, err := copyFrom(ctx, j.group, status.member, epoch)
			if err != nil {
				j.log.Debug().Err(err).Str("member", status.member.instance).Msg("no copy")
			}
			answers <- one
		}()
	}
	var copies []ledger.Copy
	for range active {
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
