package replica

import (
	"context"
	"path/filepath"
	"slices"
	"strings"

	"github.com/oklog/run"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"storj.io/drpc"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/actor"
	"peridotwinch.example/peridotwinch/internal/ledger"
	"peridotwinch.example/peridotwinch/internal/rpc/ledgerpb"
	"peridotwinch.example/peridotwinch/internal/settings"
)

// dataFolder is the folder of the role under the daemon's data folder.
const dataFolder = "ledger"

// Role is the ledger role of a daemon: a replica in the fleet's group and one in
// the group of its failure domain.
type Role struct {
	service *service
	joiners []*joiner
}

// NewRole opens the replicas of the daemon. It fails with an api.Error when
// their files are damaged or belong to other members.
func NewRole(s *settings.Settings, log zerolog.Logger) (*Role, error) {
	role := &Role{service: &service{replicas: make(map[ledger.GroupID]*Replica)}}
	for _, group := range []ledger.GroupID{ledger.FleetGroup, ledger.DomainGroup(s.FailureDomain)} {
		if err := role.open(s, group, log); err != nil {
			return nil, err
		}
	}
	return role, nil
}

func (r *Role) open(s *settings.Settings, group ledger.GroupID, log zerolog.Logger) error {
	log = log.With().Str("group", string(group)).Logger()
	members := MembersOf(s, group)
	names := instances(members)
	if !slices.Contains(names, s.Instance) {
		return api.FieldErrorf(api.CodeSettingsInvalid, "peers", "%q is not listed with the role ledger", s.Instance)
	}
	dir := filepath.Join(s.DataDir, dataFolder, strings.ReplaceAll(string(group), "/", "-"))
	replica, err := Open(dir, log, Options{Retention: s.Timeouts.Retention()})
	if err != nil {
		return err
	}
	if meta, _ := replica.Meta(); meta.Phase != ledger.PhaseEmpty && !slices.Equal(meta.Members, names) {
		return api.FieldErrorf(api.CodeSettingsInvalid, "peers",
			"the group %s was formed by %v, the settings name %v", group, meta.Members, names)
	}
	r.service.replicas[group] = replica
	r.joiners = append(r.joiners, newJoiner(group, s.Instance, members, replica, log))
	return nil
}

// MembersOf returns the peers of a group in ascending order of their instance.
func MembersOf(s *settings.Settings, group ledger.GroupID) []settings.Peer {
	var out []settings.Peer
	for _, peer := range s.PeersWithRole(settings.RoleLedger) {
		if group == ledger.FleetGroup || group == ledger.DomainGroup(peer.FailureDomain) {
			out = append(out, peer)
		}
	}
	slices.SortFunc(out, func(a, b settings.Peer) int { return strings.Compare(a.Instance, b.Instance) })
	return out
}

func instances(members []settings.Peer) []string {
	out := make([]string, len(members))
	for i, member := range members {
		out[i] = member.Instance
	}
	return out
}

// Register adds the role's RPCs to a server.
func (r *Role) Register(mux drpc.Mux) error {
	return errors.Wrap(ledgerpb.DRPCRegisterLedger(mux, r.service), "register the ledger")
}

// AddForeground adds no actor: routers that drain still need their claims.
func (r *Role) AddForeground(*run.Group) {}

// AddBackground adds the replicas' actors.
func (r *Role) AddBackground(group *run.Group) {
	for _, j := range r.joiners {
		actor.Add(group, j.replica.Run)
		actor.Add(group, func(ctx context.Context) error {
			j.run(ctx)
			return nil
		})
	}
}
