package replica

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc"

	"peridotwinch.example/peridotwinch/internal/ledger"
	"peridotwinch.example/peridotwinch/internal/rpc/ledgerpb"
)

// form runs a formation as its coordinator: every member promises a new
// generation durably, and only then the first one becomes active. A member that
// misses the commit learns of it from an active one.
func (j *joiner) form(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	formation := j.formation
	formation.Generation = uint64(time.Now().UnixMilli())
	generation := formation.Generation
	request := &ledgerpb.FormRequest{
		Group: string(j.group), Generation: generation, Members: formation.List.Members,
		Addresses: formation.List.Addresses, Shards: uint32(formation.Shards), Layout: formation.Layout,
	}
	accepted := false
	err := j.replica.Update(ctx, func(state *ledger.State) []ledger.Change {
		var changes []ledger.Change
		accepted, changes = state.PrepareFormation(formation)
		return changes
	})
	if err != nil {
		return err
	}
	if !accepted {
		return errors.New("this replica refuses the formation")
	}
	others := j.others()
	for _, other := range others {
		if err := j.sendForm(ctx, other, request); err != nil {
			return err
		}
	}
	if err := j.commit(ctx, generation); err != nil {
		return err
	}
	commit := &ledgerpb.FormRequest{Group: string(j.group), Generation: generation, Commit: true}
	for _, other := range others {
		if err := j.sendForm(ctx, other, commit); err != nil {
			j.log.Debug().Err(err).Msg("a member learns of the formation later")
		}
	}
	return nil
}

func (j *joiner) sendForm(ctx context.Context, other member, request *ledgerpb.FormRequest) error {
	return other.client.Do(ctx, func(ctx context.Context, conn drpc.Conn) error {
		out, err := ledgerpb.NewDRPCLedgerClient(conn).Form(ctx, request)
		if err == nil && !out.Accepted {
			err = errors.Errorf("%s refuses the formation", other.instance)
		}
		return err
	})
}
