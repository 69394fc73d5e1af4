package replica

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"storj.io/drpc"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/actor"
	"peridotwinch.example/peridotwinch/internal/ledger"
	"peridotwinch.example/peridotwinch/internal/ledger/wire"
	"peridotwinch.example/peridotwinch/internal/rpc/ledgerpb"
)

// Times of a change of the members.
const (
	changeTimeout = time.Minute
	changePause   = 100 * time.Millisecond
)

// replacement is a change of one member in progress.
type replacement struct {
	operator *Operator
	old, by  string
	// started says that the change was possible when the command first looked.
	started bool
	random  *rand.Rand
}

// Replace puts another instance into the place of a member. It returns once a
// majority of the old members has accepted the new list, a majority of the new
// members follows it, and the new instance has copied the claims, so that the
// loss of one more member is survived.
//
// The same call resumes a change that was interrupted. It fails with
// CodeLedgerMember when old is no member, or by is one or not empty, with
// CodeLedgerChange when another change is pending or came first, and with
// CodeLedgerNoMajority when no majority of the old members answers.
func (o *Operator) Replace(ctx context.Context, old, by string) error {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	r := &replacement{operator: o, old: old, by: by, random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}
	for {
		decided, err := r.try(ctx)
		if err != nil {
			return err
		}
		if decided {
			return r.wait(ctx)
		}
		if !actor.Sleep(ctx, changePause+r.jitter()) {
			return r.noMajority()
		}
	}
}

// jitter keeps two operators from raising the epoch in turns.
func (r *replacement) jitter() time.Duration {
	return time.Duration(r.random.Int64N(int64(changePause)))
}

func (r *replacement) noMajority() error {
	return api.Errorf(api.CodeLedgerNoMajority, "no majority of the members of %s took the change; run the command again", r.operator.group)
}

// try runs one ballot. It reports true once the new list is chosen, and false
// when the ballot came to nothing.
func (r *replacement) try(ctx context.Context) (bool, error) {
	metas := metasOf(r.operator.survey(ctx))
	list, found := ledger.Chosen(metas)
	if !found {
		return false, r.noMajority()
	}
	if list.Has(r.by) && !list.Has(r.old) {
		return true, nil
	}
	if countOf(list, metas) < ledger.Majority(len(list.Members)) {
		return false, r.noMajority()
	}
	if err := r.check(list, metas); err != nil {
		return false, err
	}
	r.started = true
	next := list.Replace(r.old, r.by, r.operator.directory.addresses[r.by])
	epoch := ledger.ChangeEpoch(highestEpoch(metas), r.random)
	promised := r.ask(ctx, list, &ledgerpb.ChangeRequest{Epoch: epoch, Base: list.Since})
	if len(promised) < ledger.Majority(len(list.Members)) {
		return false, nil
	}
	if pending := newestPending(promised); pending != nil && !slices.Equal(pending.Members, next.Members) {
		return false, api.Errorf(api.CodeLedgerChange, "the change of %s from %v to %v is under way", r.operator.group, list.Members, pending.Members)
	}
	accepted := r.ask(ctx, list, &ledgerpb.ChangeRequest{Epoch: epoch, Base: list.Since, Next: wire.FromList(&next)})
	return len(accepted) >= ledger.Majority(len(list.Members)), nil
}

// check refuses a change that cannot be made. A change that is pending already
// may be finished without the new instance.
func (r *replacement) check(list ledger.MemberList, metas map[string]ledger.Meta) error {
	if !list.Has(r.old) {
		if r.started {
			return api.Errorf(api.CodeLedgerChange, "another change came first: the members are %v", list.Members)
		}
		return api.Errorf(api.CodeLedgerMember, "%s is no member of %s: %v", r.old, r.operator.group, list.Members)
	}
	if list.Has(r.by) {
		return api.Errorf(api.CodeLedgerMember, "%s is a member of %s already", r.by, r.operator.group)
	}
	for _, meta := range metas {
		if meta.Pending != nil && meta.Pending.Has(r.by) && !meta.Pending.Has(r.old) {
			return nil
		}
	}
	meta, answers := metas[r.by]
	if !answers {
		return api.Errorf(api.CodeLedgerMember,
			"%s has no replica of %s that answers; name it in its settings and start it", r.by, r.operator.group)
	}
	if meta.Phase != ledger.PhaseEmpty {
		return api.Errorf(api.CodeLedgerMember, "the replica of %s on %s is not empty", r.operator.group, r.by)
	}
	return nil
}

// ask sends a question to all members of a list and returns the metas of those
// that agree.
func (r *replacement) ask(ctx context.Context, list ledger.MemberList, request *ledgerpb.ChangeRequest) []ledger.Meta {
	request.Group = string(r.operator.group)
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	responses := each(r.operator.unasked(list, nil), func(m member) *ledgerpb.ChangeResponse {
		var out *ledgerpb.ChangeResponse
		_ = m.client.Do(ctx, func(ctx context.Context, conn drpc.Conn) (err error) {
			out, err = ledgerpb.NewDRPCLedgerClient(conn).Change(ctx, request)
			return err
		})
		return out
	})
	var agreed []ledger.Meta
	for _, response := range responses {
		if response.GetAccepted() {
			agreed = append(agreed, wire.ToMeta(response.Meta))
		}
	}
	return agreed
}

// countOf counts the members of a list that answer as active ones.
func countOf(list ledger.MemberList, metas map[string]ledger.Meta) int {
	count := 0
	for _, member := range list.Members {
		if metas[member].Phase == ledger.PhaseActive {
			count++
		}
	}
	return count
}

func highestEpoch(metas map[string]ledger.Meta) uint64 {
	var highest uint64
	for _, meta := range metas {
		highest = max(highest, meta.Epoch)
	}
	return highest
}

// newestPending returns the list of the highest epoch that is pending: a
// majority may have accepted it.
func newestPending(metas []ledger.Meta) *ledger.MemberList {
	var newest *ledger.MemberList
	for _, meta := range metas {
		if meta.Pending != nil && (newest == nil || meta.Pending.Since > newest.Since) {
			newest = meta.Pending
		}
	}
	return newest
}

// wait returns once the new member and a majority follow the new list.
func (r *replacement) wait(ctx context.Context) error {
	for {
		metas := metasOf(r.operator.survey(ctx))
		if r.isDone(metas) {
			return nil
		}
		if !actor.Sleep(ctx, changePause) {
			return api.Errorf(api.CodeUnreachable, "the change is decided, %s has not copied the claims yet; run the command again", r.by)
		}
	}
}

func (r *replacement) isDone(metas map[string]ledger.Meta) bool {
	list, found := ledger.Followed(metas)
	if !found || !list.Has(r.by) || list.Has(r.old) {
		return false
	}
	following := 0
	for _, member := range list.Members {
		meta := metas[member]
		if meta.Phase == ledger.PhaseActive && slices.Equal(meta.Members, list.Members) {
			following++
		}
	}
	by := metas[r.by]
	return following >= ledger.Majority(len(list.Members)) && by.Phase == ledger.PhaseActive
}
