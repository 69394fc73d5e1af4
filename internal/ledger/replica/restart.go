package replica

import (
	"context"
	"time"

	"storj.io/drpc"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/ledger"
	"peridotwinch.example/peridotwinch/internal/ledger/wire"
	"peridotwinch.example/peridotwinch/internal/rpc/ledgerpb"
)

// restartTimeout is the maximum time of a restart.
const restartTimeout = time.Minute

// Restart restarts the group after a majority of its members lost their disks.
// Every member must be reachable. The members get the union of the remaining
// records, a higher epoch, and a new generation, in which all keys minted before
// are rejected. No customer's own key is granted during the quarantine. Restart
// fails with CodeLedgerMajority while a majority is active, because the group then
// recovers by itself, and with CodeUnreachable if a member does not reply.
//
// With force it restarts the group even then: if all members lost their disks, the
// group has formed again without their records, and only a quarantine prevents
// requests with the customers' earlier keys from running a second time.
func (o *Operator) Restart(ctx context.Context, quarantine time.Duration, force bool) error {
	ctx, cancel := context.WithTimeout(ctx, restartTimeout)
	defer cancel()
	metas, err := o.memberMetas(ctx)
	if err != nil {
		return err
	}
	if count := countActiveInNewest(metas); count >= ledger.Majority(len(o.members)) && !force {
		return api.Errorf(api.CodeLedgerMajority,
			"%d of %d members are active; the group recovers by itself", count, len(o.members))
	}
	epoch, survivors := o.nextEpochAndSurvivors(metas)
	copies, err := o.copySurvivors(ctx, survivors, epoch)
	if err != nil {
		return err
	}
	return o.install(ctx, epoch, quarantine, ledger.UnionCopies(copies))
}

// memberMetas returns the metadata of all members. It fails if one does not reply.
func (o *Operator) memberMetas(ctx context.Context) ([]ledger.Meta, error) {
	metas := make([]ledger.Meta, len(o.members))
	for i, result := range queryStatus(ctx, o.group, o.members) {
		if result.err != nil {
			return nil, api.Errorf(api.CodeUnreachable, "member %s: %v", result.member.instance, result.err)
		}
		metas[i] = wire.ToMeta(result.status.Meta)
	}
	return metas, nil
}

// nextEpochAndSurvivors returns an epoch above those of all members, and the members
// that are active.
func (o *Operator) nextEpochAndSurvivors(metas []ledger.Meta) (uint64, []member) {
	var highest uint64
	var survivors []member
	for i, meta := range metas {
		highest = max(highest, meta.Epoch)
		if meta.Phase == ledger.PhaseActive {
			survivors = append(survivors, o.members[i])
		}
	}
	return ledger.OperatorEpoch(highest), survivors
}

// countActiveInNewest returns the number of members that are active in the newest
// generation.
func countActiveInNewest(metas []ledger.Meta) int {
	var newest uint64
	for _, meta := range metas {
		newest = max(newest, meta.Generation)
	}
	count := 0
	for _, meta := range metas {
		if meta.Phase == ledger.PhaseActive && meta.Generation == newest {
			count++
		}
	}
	return count
}

// copySurvivors raises the epoch at the survivors, so that they reject claims of
// older epochs, and returns copies of their states.
func (o *Operator) copySurvivors(ctx context.Context, survivors []member, epoch uint64) ([]ledger.ReplicaCopy, error) {
	var copies []ledger.ReplicaCopy
	for _, m := range survivors {
		survivor, err := copyFrom(ctx, o.group, m, epoch)
		if err != nil {
			return nil, api.Errorf(api.CodeUnreachable, "member %s: %v", m.instance, err)
		}
		copies = append(copies, *survivor)
	}
	return copies, nil
}

// install installs the records at every member in a new generation and an epoch
// above the given one, and verifies the result.
func (o *Operator) install(ctx context.Context, epoch uint64, quarantine time.Duration, records map[ledger.KeyHash]*ledger.Record) error {
	request := &ledgerpb.RestartRequest{
		Group:           string(o.group),
		Generation:      uint64(time.Now().UnixMilli()),
		Epoch:           ledger.OperatorEpoch(epoch),
		QuarantineUntil: time.Now().Add(quarantine).Unix(),
		Members:         o.formation.List.Members,
		Addresses:       o.formation.List.Addresses,
		Shards:          uint32(o.formation.Shards),
	}
	for key, record := range records {
		request.Entries = append(request.Entries, wire.FromEntry(ledger.Entry{Key: key, Record: record}))
	}
	for _, m := range o.members {
		err := m.client.Do(ctx, func(ctx context.Context, conn drpc.Conn) error {
			_, err := ledgerpb.NewDRPCLedgerClient(conn).Restart(ctx, request)
			return err
		})
		if err != nil {
			return api.Errorf(api.CodeUnreachable, "member %s: %v; run the command again", m.instance, err)
		}
	}
	return o.verify(ctx, request.Generation)
}

// verify returns an error unless every member is active in the generation.
func (o *Operator) verify(ctx context.Context, generation uint64) error {
	metas, err := o.memberMetas(ctx)
	if err != nil {
		return err
	}
	for i, meta := range metas {
		if meta.Phase != ledger.PhaseActive || meta.Generation != generation {
			return api.Errorf(api.CodeInternal, "member %s is %s in generation %d after the restart; run the command again",
				o.members[i].instance, meta.Phase, meta.Generation)
		}
	}
	return nil
}
