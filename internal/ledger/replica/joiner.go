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
	"peridotwinch.example/peridotwinch/internal/settings"
)

// Times of a joiner.
const (
	joinEvery     = 200 * time.Millisecond
	statusTimeout = time.Second
)

// member is another replica of the group.
type member struct {
	instance string
	client   *rpc.Client
}

// joiner brings an inactive replica into its group: by forming the group with
// the other members, or by recovering what they hold.
type joiner struct {
	group   ledger.GroupID
	self    string
	names   []string
	others  []member
	replica *Replica
	log     zerolog.Logger
}

func newJoiner(group ledger.GroupID, self string, members []settings.Peer, replica *Replica, log zerolog.Logger) *joiner {
	j := &joiner{group: group, self: self, names: instances(members), replica: replica, log: log}
	for _, peer := range members {
		if peer.Instance != self {
			j.others = append(j.others, member{peer.Instance, rpc.NewClient(peer.Address, rpc.PurposeLedger)})
		}
	}
	name := fmt.Sprintf(`peridotwinch_ledger_active{group=%q}`, string(group))
	metrics.GetOrCreateGauge(name, func() float64 {
		if j.phase() == ledger.PhaseActive {
			return 1
		}
		return 0
	})
	return j
}

func (j *joiner) phase() ledger.Phase {
	meta, _ := j.replica.Meta()
	return meta.Phase
}

// run tries until the replica is active or ctx ends.
func (j *joiner) run(ctx context.Context) {
	ticker := time.NewTicker(joinEvery)
	defer ticker.Stop()
	for ctx.Err() == nil && j.phase() != ledger.PhaseActive {
		if err := j.step(ctx); err != nil {
			j.log.Debug().Err(err).Msg("the replica is not active yet")
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
	for _, other := range j.others {
		other.client.Close()
	}
	if ctx.Err() == nil {
		meta, records := j.replica.Meta()
		j.log.Info().Uint64("generation", meta.Generation).Uint64("epoch", meta.Epoch).
			Int("records", records).Msg("the replica is active")
	}
	<-ctx.Done()
}

// peerStatus is what another member says of itself.
type peerStatus struct {
	member member
	meta   ledger.Meta
}

func (j *joiner) step(ctx context.Context) error {
	statuses := j.statuses(ctx)
	var active []peerStatus
	for _, status := range statuses {
		if status.meta.Phase == ledger.PhaseActive {
			active = append(active, status)
		}
	}
	if len(active) > 0 {
		return j.join(ctx, active)
	}
	if len(statuses) == len(j.others) && j.names[0] == j.self {
		return j.form(ctx)
	}
	return nil
}

// statuses asks all other members and returns the answers.
func (j *joiner) statuses(ctx context.Context) []peerStatus {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	answers := make(chan *peerStatus, len(j.others))
	for _, other := range j.others {
		go func() {
			out, err := j.status(ctx, other)
			if err != nil {
				answers <- nil
				return
			}
			answers <- &peerStatus{other, out}
		}()
	}
	var all []peerStatus
	for range j.others {
		if answer := <-answers; answer != nil {
			all = append(all, *answer)
		}
	}
	return all
}

func (j *joiner) status(ctx context.Context, other member) (ledger.Meta, error) {
	meta := ledger.Meta{}
	err := other.client.Do(ctx, func(ctx context.Context, conn drpc.Conn) error {
		out, err := ledgerpb.NewDRPCLedgerClient(conn).GetStatus(ctx, &ledgerpb.StatusRequest{Group: string(j.group)})
		meta = wire.ToMeta(out.GetMeta())
		return err
	})
	return meta, err
}

// join makes the replica active in a group that others run already.
func (j *joiner) join(ctx context.Context, active []peerStatus) error {
	meta, _ := j.replica.Meta()
	sameGeneration := func(s peerStatus) bool { return s.meta.Generation == meta.Generation }
	if meta.Phase == ledger.PhaseForming && slices.ContainsFunc(active, sameGeneration) {
		return j.commit(ctx, meta.Generation)
	}
	return j.recover(ctx, active)
}

func (j *joiner) commit(ctx context.Context, generation uint64) error {
	return j.replica.Update(ctx, func(state *ledger.State) []ledger.Change {
		_, changes := state.CommitFormation(generation)
		return changes
	})
}
