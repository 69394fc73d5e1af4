package replica

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc"

	"peridotwinch.example/peridotwinch/internal/ledger"
	"peridotwinch.example/peridotwinch/internal/rpc/ledgerpb"
)

// form runs a formation as its coordinator, in two phases: every member durably
// promises the new generation, and only then the first member becomes active. A
// member that misses the commit request commits when another member reports the
// generation as active.
func (mgr *manager) form(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	formation := mgr.formation
	formation.Generation = uint64(time.Now().UnixMilli())
	generation := formation.Generation
	request := &ledgerpb.FormRequest{
		Group: string(mgr.group), Generation: generation, Members: formation.List.Members,
		Addresses: formation.List.Addresses, Shards: uint32(formation.Shards), Layout: formation.Layout,
	}
	accepted := false
	err := mgr.replica.Update(ctx, func(state *ledger.State) []ledger.Entry {
		var entries []ledger.Entry
		accepted, entries = state.PrepareFormation(formation)
		return entries
	})
	if err != nil {
		return err
	}
	if !accepted {
		return errors.New("the local replica rejected the formation")
	}
	others := mgr.otherMembers()
	for _, other := range others {
		if err := mgr.sendForm(ctx, other, request); err != nil {
			return err
		}
	}
	if err := mgr.commitFormation(ctx, generation); err != nil {
		return err
	}
	commit := &ledgerpb.FormRequest{Group: string(mgr.group), Generation: generation, Commit: true}
	for _, other := range others {
		if err := mgr.sendForm(ctx, other, commit); err != nil {
			mgr.log.Debug().Err(err).
				Msg("failed to send the formation commit to a member; it commits when it finds an active member")
		}
	}
	return nil
}

// sendForm sends a formation request to another member. It returns an error if the
// member rejects it.
func (mgr *manager) sendForm(ctx context.Context, other member, request *ledgerpb.FormRequest) error {
	return other.client.Do(ctx, func(ctx context.Context, conn drpc.Conn) error {
		response, err := ledgerpb.NewDRPCLedgerClient(conn).Form(ctx, request)
		if err == nil && !response.Accepted {
			err = errors.Errorf("member %s rejected the formation", other.instance)
		}
		return err
	})
}
