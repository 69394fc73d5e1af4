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

// Times of a joiner.
const (
	joinEvery     = 200 * time.Millisecond
	statusTimeout = time.Second
	// followEvery is the time between two looks for a newer member list.
	followEvery = 5 * time.Second
)

// member is another replica of the group.
type member struct {
	instance string
	client   *rpc.Client
}

// joiner brings an inactive replica into its group: by forming the group with
// the other members, or by recovering what they hold. An active replica follows
// the member lists that the group chooses.
type joiner struct {
	group     ledger.GroupID
	self      string
	formation ledger.Formation
	// mayForm says whether the group may form yet.
	mayForm   func() bool
	directory *directory
	replica   *Replica
	log       zerolog.Logger
}

func (j *joiner) register() {
	name := fmt.Sprintf(`peridotwinch_ledger_active{group=%q}`, string(j.group))
	metrics.GetOrCreateGauge(name, func() float64 {
		if j.isActive() {
			return 1
		}
		return 0
	})
}

// isActive reports whether the replica takes part as a member.
func (j *joiner) isActive() bool {
	meta, _ := j.replica.Meta()
	return meta.Phase == ledger.PhaseActive && meta.List().Has(j.self) && meta.Pending == nil
}

// run ends with ctx.
func (j *joiner) run(ctx context.Context) {
	defer j.directory.close()
	wasActive := false
	for {
		if err := j.step(ctx); err != nil {
			j.log.Debug().Err(err).Msg("the replica does not take part yet")
		}
		active := j.isActive()
		if active && !wasActive {
			j.logActive()
		}
		wasActive = active
		pause := joinEvery
		if active {
			pause = followEvery
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return
		}
	}
}

func (j *joiner) logActive() {
	meta, records := j.replica.Meta()
	j.log.Info().Uint64("generation", meta.Generation).Uint64("epoch", meta.Epoch).
		Strs("members", meta.Members).Int("records", records).Msg("the replica is active")
}

// step asks the other members and does what follows from their answers.
func (j *joiner) step(ctx context.Context) error {
	others := j.others()
	metas := j.ask(ctx, others)
	own, _ := j.replica.Meta()
	if own.Phase == ledger.PhaseActive {
		metas[j.self] = own
		return j.follow(ctx, own, metas)
	}
	list, found := ledger.Chosen(metas)
	if found {
		return j.join(ctx, own, list, metas)
	}
	if len(metas) == len(others) && j.coordinates() && j.mayForm() {
		return j.form(ctx)
	}
	return nil
}

// coordinates reports whether this instance runs the group's formation.
func (j *joiner) coordinates() bool {
	members := j.formation.List.Members
	return len(members) > 0 && members[0] == j.self
}

// others returns the instances besides this one that the settings or the
// replica's lists name.
func (j *joiner) others() []member {
	own, _ := j.replica.Meta()
	lists := []ledger.MemberList{own.List(), j.formation.List}
	if own.Pending != nil {
		lists = append(lists, *own.Pending)
	}
	var out []member
	for _, list := range lists {
		out = append(out, j.newOf(list, out)...)
	}
	return out
}

// newOf returns the other members of a list that are not among known.
func (j *joiner) newOf(list ledger.MemberList, known []member) []member {
	var out []member
	for _, instance := range list.Members {
		isKnown := slices.ContainsFunc(known, func(m member) bool { return m.instance == instance })
		if instance == j.self || isKnown {
			continue
		}
		if one, ok := j.directory.reach(list, instance); ok {
			out = append(out, one)
		}
	}
	return out
}

// ask returns the metas of the members that answer.
func (j *joiner) ask(ctx context.Context, others []member) map[string]ledger.Meta {
	out := make(map[string]ledger.Meta)
	for _, response := range askAll(ctx, j.group, others) {
		if response.err == nil {
			out[response.member.instance] = wire.ToMeta(response.status.Meta)
		}
	}
	return out
}

// response is a member's status, or an error.
type response struct {
	member member
	status *ledgerpb.StatusResponse
	err    error
}

// askAll asks members for their status at the same time; the responses are in
// the order of the members.
func askAll(ctx context.Context, group ledger.GroupID, members []member) []response {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	return each(members, func(m member) response {
		out := response{member: m}
		out.err = m.client.Do(ctx, func(ctx context.Context, conn drpc.Conn) (err error) {
			out.status, err = ledgerpb.NewDRPCLedgerClient(conn).GetStatus(ctx, &ledgerpb.StatusRequest{Group: string(group)})
			return err
		})
		return out
	})
}

// each calls all members at the same time.
func each[T any](members []member, call func(m member) T) []T {
	out := make([]T, len(members))
	done := make(chan struct{})
	for i, m := range members {
		go func() {
			out[i] = call(m)
			done <- struct{}{}
		}()
	}
	for range members {
		<-done
	}
	return out
}

// follow takes the chosen list. An instance that a list has left out never comes
// back with what it holds, only as an empty one.
func (j *joiner) follow(ctx context.Context, own ledger.Meta, metas map[string]ledger.Meta) error {
	list, _ := ledger.Chosen(metas)
	if list.Since <= own.Since || !own.List().Has(j.self) {
		return nil
	}
	j.log.Info().Strs("members", list.Members).Uint64("epoch", list.Since).Msg("the group has a new member list")
	return j.replica.Update(ctx, func(state *ledger.State) []ledger.Change {
		_, changes := state.FollowList(list)
		return changes
	})
}

// join makes the replica active in a group that others run already. It waits
// where their list does not name it.
func (j *joiner) join(ctx context.Context, own ledger.Meta, list ledger.MemberList, metas map[string]ledger.Meta) error {
	if !list.Has(j.self) {
		return nil
	}
	if own.Phase == ledger.PhaseForming && list.Since == 0 && hasGeneration(metas, own.Generation) {
		return j.commit(ctx, own.Generation)
	}
	return j.recover(ctx, list, metas)
}

func hasGeneration(metas map[string]ledger.Meta, generation uint64) bool {
	for _, meta := range metas {
		if meta.Phase == ledger.PhaseActive && meta.Generation == generation {
			return true
		}
	}
	return false
}

func (j *joiner) commit(ctx context.Context, generation uint64) error {
	return j.replica.Update(ctx, func(state *ledger.State) []ledger.Change {
		_, changes := state.CommitFormation(generation)
		return changes
	})
}
