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

// restartTimeout bounds a restart of a group.
const restartTimeout = time.Minute

// Restart starts the group again after a majority of its members lost their
// disks. Every member must answer. The members get the union of what is left, a
// higher epoch, and a new generation, which refuses all keys minted before. No
// customer's own key is granted during the quarantine. It fails with
// CodeLedgerMajority while a majority is active, since the group then
// recovers by itself.
//
// With force it goes on even so: a group whose members lost all disks has formed
// anew, and only a quarantine keeps the customers' keys of before from running.
func (o *Operator) Restart(ctx context.Context, quarantine time.Duration, force bool) error {
	ctx, cancel := context.WithTimeout(ctx, restartTimeout)
	defer cancel()
	metas, err := o.metas(ctx)
	if err != nil {
		return err
	}
	if n := atNewest(metas); n >= ledger.Majority(len(o.members)) && !force {
		return api.Errorf(api.CodeLedgerMajority, "%d of %d members are active", n, len(o.members))
	}
	epoch, survivors := o.weigh(metas)
	copies, err := o.copies(ctx, survivors, epoch)
	if err != nil {
		return err
	}
	return o.install(ctx, epoch, quarantine, ledger.UnionCopies(copies))
}

func (o *Operator) metas(ctx context.Context) ([]ledger.Meta, error) {
	out := make([]ledger.Meta, len(o.members))
	for i, response := range askAll(ctx, o.group, o.members) {
		if response.err != nil {
			return nil, api.Errorf(api.CodeUnreachable, "%s: %v", response.member.instance, response.err)
		}
		out[i] = wire.ToMeta(response.status.Meta)
	}
	return out, nil
}

// weigh returns the group's next epoch and its active members.
func (o *Operator) weigh(metas []ledger.Meta) (uint64, []member) {
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

// atNewest counts the active members of the newest generation.
func atNewest(metas []ledger.Meta) int {
	var newest uint64
	for _, meta := range metas {
		newest = max(newest, meta.Generation)
	}
	n := 0
	for _, meta := range metas {
		if meta.Phase == ledger.PhaseActive && meta.Generation == newest {
			n++
		}
	}
	return n
}

// copies stops the survivors from granting in older epochs and reads them.
func (o *Operator) copies(ctx context.Context, survivors []member, epoch uint64) ([]ledger.Copy, error) {
	var out []ledger.Copy
	for _, m := range survivors {
		one, err := copyFrom(ctx, o.group, m, epoch)
		if err != nil {
			return nil, api.Errorf(api.CodeUnreachable, "%s: %v", m.instance, err)
		}
		out = append(out, *one)
	}
	return out, nil
}

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
		request.Entries = append(request.Entries, wire.FromChange(ledger.Change{Key: key, Record: record}))
	}
	for _, m := range o.members {
		err := m.client.Do(ctx, func(ctx context.Context, conn drpc.Conn) error {
			_, err := ledgerpb.NewDRPCLedgerClient(conn).Restart(ctx, request)
			return err
		})
		if err != nil {
			return api.Errorf(api.CodeUnreachable, "%s: %v; run the command again", m.instance, err)
		}
	}
	return o.verify(ctx, request.Generation)
}

// verify checks that every member is active in the generation.
func (o *Operator) verify(ctx context.Context, generation uint64) error {
	metas, err := o.metas(ctx)
	if err != nil {
		return err
	}
	for i, meta := range metas {
		if meta.Phase != ledger.PhaseActive || meta.Generation != generation {
			return api.Errorf(api.CodeInternal, "%s is %s in generation %d; run the command again",
				o.members[i].instance, meta.Phase, meta.Generation)
		}
	}
	return nil
}
