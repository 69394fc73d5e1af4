package replica

import (
	"context"
	"time"

	"storj.io/drpc"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/ledger"
	"peridotwinch.example/peridotwinch/internal/ledger/wire"
	"peridotwinch.example/peridotwinch/internal/rpc"
	"peridotwinch.example/peridotwinch/internal/rpc/ledgerpb"
	"peridotwinch.example/peridotwinch/internal/settings"
)

// restartTimeout bounds a restart of a group.
const restartTimeout = time.Minute

// MemberStatus is what a member of a group says of itself.
type MemberStatus struct {
	Instance   string `json:"instance"`
	Address    string `json:"address"`
	Phase      string `json:"phase"`
	Generation uint64 `json:"generation"`
	Epoch      uint64 `json:"epoch"`
	Records    uint64 `json:"records"`
	Error      string `json:"error,omitempty"`
}

// Operator reaches all members of a group on an operator's behalf.
type Operator struct {
	group   ledger.GroupID
	members []member
}

// NewOperator returns an operator of the group that the settings' peers make up.
func NewOperator(s *settings.Settings, group ledger.GroupID) *Operator {
	o := &Operator{group: group}
	for _, peer := range MembersOf(s, group) {
		o.members = append(o.members, member{peer.Instance, rpc.NewClient(peer.Address, rpc.PurposeLedger)})
	}
	return o
}

// Status returns the status of each member.
func (o *Operator) Status(ctx context.Context) []MemberStatus {
	out := make([]MemberStatus, len(o.members))
	for i, m := range o.members {
		out[i] = o.statusOf(ctx, m)
	}
	return out
}

func (o *Operator) statusOf(ctx context.Context, m member) MemberStatus {
	out := MemberStatus{Instance: m.instance, Address: m.client.Address()}
	response, err := o.ask(ctx, m)
	if err != nil {
		out.Error = err.Error()
		return out
	}
	meta := wire.ToMeta(response.Meta)
	out.Phase, out.Generation, out.Epoch = meta.Phase.String(), meta.Generation, meta.Epoch
	out.Records = response.Records
	return out
}

func (o *Operator) ask(ctx context.Context, m member) (*ledgerpb.StatusResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	var out *ledgerpb.StatusResponse
	err := m.client.Do(ctx, func(ctx context.Context, conn drpc.Conn) (err error) {
		out, err = ledgerpb.NewDRPCLedgerClient(conn).GetStatus(ctx, &ledgerpb.StatusRequest{Group: string(o.group)})
		return err
	})
	return out, err
}

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
	for i, m := range o.members {
		response, err := o.ask(ctx, m)
		if err != nil {
			return nil, api.Errorf(api.CodeUnreachable, "%s: %v", m.instance, err)
		}
		out[i] = wire.ToMeta(response.Meta)
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
	}
	for _, m := range o.members {
		request.Members = append(request.Members, m.instance)
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
