package replica

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"storj.io/drpc"

	"peridotwinch.example/peridotwinch/internal/ledger"
	"peridotwinch.example/peridotwinch/internal/ledger/wire"
	"peridotwinch.example/peridotwinch/internal/rpc"
	"peridotwinch.example/peridotwinch/internal/rpc/ledgerpb"
)

// Intervals and timeouts of a manager.
const (
	// joinInterval is the time between two attempts of an inactive replica to
	// become active.
	joinInterval = 200 * time.Millisecond
	// roundTimeout limits one round of requests to the other members.
	roundTimeout = time.Second
	// followInterval is the time between two checks of an active replica for a
	// newer member list.
	followInterval = 5 * time.Second
)

// member is another replica of the group.
type member struct {
	instance string
	client   *rpc.Client
}

// manager manages the membership of one replica in its group. It makes an inactive
// replica active, either by forming the group with the other members or by
// recovering the records from them. It makes an active replica follow the member
// lists that the group commits.
type manager struct {
	group ledger.GroupID
	// self is the instance of this daemon.
	self string
	// formation is the formation that the settings describe.
	formation ledger.Formation
	// mayForm reports whether the group may form yet.
	mayForm func() bool
	clients *clientCache
	replica *Replica
	log     zerolog.Logger
}

// registerMetrics registers the gauge that reports whether the replica is active.
func (mgr *manager) registerMetrics() {
	name := fmt.Sprintf(`peridotwinch_ledger_active{group=%q}`, string(mgr.group))
	metrics.GetOrCreateGauge(name, func() float64 {
		if mgr.isActive() {
			return 1
		}
		return 0
	})
}

// isActive reports whether the replica grants claims as a member of the group: it
// does not while a membership change is pending.
func (mgr *manager) isActive() bool {
	meta, _ := mgr.replica.Meta()
	return meta.Phase == ledger.PhaseActive && meta.List().Has(mgr.self) && meta.Pending == nil
}

// run checks the membership periodically until ctx ends.
func (mgr *manager) run(ctx context.Context) {
	defer mgr.clients.close()
	wasActive := false
	for {
		if err := mgr.reconcile(ctx); err != nil {
			mgr.log.Debug().Err(err).Msg("membership check failed; retrying at the next interval")
		}
		active := mgr.isActive()
		if active && !wasActive {
			mgr.logActive()
		}
		wasActive = active
		interval := joinInterval
		if active {
			interval = followInterval
		}
		select {
		case <-time.After(interval):
		case <-ctx.Done():
			return
		}
	}
}

func (mgr *manager) logActive() {
	meta, records := mgr.replica.Meta()
	mgr.log.Info().Uint64("generation", meta.Generation).Uint64("epoch", meta.Epoch).
		Strs("members", meta.Members).Int("records", records).Msg("the replica is active")
}

// reconcile queries the other members and, depending on their metadata, installs a
// new member list, joins the active group, or coordinates its formation. The
// formation needs a reply of every other member.
func (mgr *manager) reconcile(ctx context.Context) error {
	others := mgr.otherMembers()
	metas := mgr.queryMetas(ctx, others)
	own, _ := mgr.replica.Meta()
	if own.Phase == ledger.PhaseActive {
		metas[mgr.self] = own
		return mgr.installNewerList(ctx, own, metas)
	}
	list, found := ledger.CommittedList(metas)
	if found {
		return mgr.join(ctx, own, list, metas)
	}
	if len(metas) == len(others) && mgr.isCoordinator() && mgr.mayForm() {
		return mgr.form(ctx)
	}
	return nil
}

// isCoordinator reports whether this instance coordinates the group's formation.
func (mgr *manager) isCoordinator() bool {
	members := mgr.formation.List.Members
	return len(members) > 0 && members[0] == mgr.self
}

// otherMembers returns the other instances in the settings and in the replica's
// current and pending member lists.
func (mgr *manager) otherMembers() []member {
	own, _ := mgr.replica.Meta()
	lists := []ledger.MemberList{own.List(), mgr.formation.List}
	if own.Pending != nil {
		lists = append(lists, *own.Pending)
	}
	var others []member
	for _, list := range lists {
		others = append(others, mgr.unknownMembers(list, others)...)
	}
	return others
}

// unknownMembers returns the other members of a list that are not in known.
func (mgr *manager) unknownMembers(list ledger.MemberList, known []member) []member {
	var unknown []member
	for _, instance := range list.Members {
		isKnown := slices.ContainsFunc(known, func(m member) bool { return m.instance == instance })
		if instance == mgr.self || isKnown {
			continue
		}
		if other, ok := mgr.clients.lookup(list, instance); ok {
			unknown = append(unknown, other)
		}
	}
	return unknown
}

// queryMetas returns the metadata of the members that reply, by instance.
func (mgr *manager) queryMetas(ctx context.Context, others []member) map[string]ledger.Meta {
	metas := make(map[string]ledger.Meta)
	for _, result := range queryStatus(ctx, mgr.group, others) {
		if result.err == nil {
			metas[result.member.instance] = wire.ToMeta(result.status.Meta)
		}
	}
	return metas
}

// statusResult is the status of a member, or the error of the request for it.
type statusResult struct {
	member member
	status *ledgerpb.StatusResponse
	err    error
}

// queryStatus requests the status of all members concurrently. The results are in
// the order of the members.
func queryStatus(ctx context.Context, group ledger.GroupID, members []member) []statusResult {
	ctx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	return callAll(members, func(m member) statusResult {
		result := statusResult{member: m}
		result.err = m.client.Do(ctx, func(ctx context.Context, conn drpc.Conn) (err error) {
			result.status, err = ledgerpb.NewDRPCLedgerClient(conn).GetStatus(ctx, &ledgerpb.StatusRequest{Group: string(group)})
			return err
		})
		return result
	})
}

// callAll runs call for all members concurrently and returns the results in the
// order of the members.
func callAll[T any](members []member, call func(m member) T) []T {
	results := make([]T, len(members))
	done := make(chan struct{})
	for i, m := range members {
		go func() {
			results[i] = call(m)
			done <- struct{}{}
		}()
	}
	for range members {
		<-done
	}
	return results
}

// installNewerList installs the committed member list at the active replica if it is
// newer. A replica that a list has removed must not rejoin with its records; it can
// only rejoin as an empty one.
func (mgr *manager) installNewerList(ctx context.Context, own ledger.Meta, metas map[string]ledger.Meta) error {
	list, _ := ledger.CommittedList(metas)
	if list.ListEpoch <= own.ListEpoch || !own.List().Has(mgr.self) {
		return nil
	}
	mgr.log.Info().Strs("members", list.Members).Uint64("epoch", list.ListEpoch).Msg("installing the new member list of the group")
	return mgr.replica.Update(ctx, func(state *ledger.State) []ledger.Entry {
		_, entries := state.InstallList(list)
		return entries
	})
}

// join makes the inactive replica active in a group that already has active
// members. It does nothing while their member list does not contain this instance.
func (mgr *manager) join(ctx context.Context, own ledger.Meta, list ledger.MemberList, metas map[string]ledger.Meta) error {
	if !list.Has(mgr.self) {
		return nil
	}
	if own.Phase == ledger.PhaseForming && list.ListEpoch == 0 && hasActiveGeneration(metas, own.Generation) {
		return mgr.commitFormation(ctx, own.Generation)
	}
	return mgr.recover(ctx, list, metas)
}

// hasActiveGeneration reports whether a member is active in the generation.
func hasActiveGeneration(metas map[string]ledger.Meta, generation uint64) bool {
	for _, meta := range metas {
		if meta.Phase == ledger.PhaseActive && meta.Generation == generation {
			return true
		}
	}
	return false
}

// commitFormation makes the replica active in the generation that it has promised.
func (mgr *manager) commitFormation(ctx context.Context, generation uint64) error {
	return mgr.replica.Update(ctx, func(state *ledger.State) []ledger.Entry {
		_, entries := state.CommitFormation(generation)
		return entries
	})
}
