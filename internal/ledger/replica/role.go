package replica

import (
	"context"
	"os"
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

// Role is the ledger role of a daemon: a replica in each of its groups.
type Role struct {
	service *service
	// all holds the joiner of each group; that of the fleet comes first.
	all []*joiner
}

// NewRole opens the replicas of the daemon. It fails with an api.Error when
// their files are damaged, or belong to a ledger of other shards.
func NewRole(s *settings.Settings, log zerolog.Logger) (*Role, error) {
	role := &Role{service: &service{joiners: make(map[ledger.GroupID]*joiner)}}
	groups, err := groupsOf(s)
	if err != nil {
		return nil, err
	}
	for _, group := range groups {
		if err := role.open(s, group, log); err != nil {
			return nil, err
		}
	}
	return role, nil
}

// groupsOf returns the groups that the settings name and those that the daemon
// has files of: a member list may name it where its settings do not.
func groupsOf(s *settings.Settings) ([]ledger.GroupID, error) {
	groups := Groups(s)
	folders, err := os.ReadDir(filepath.Join(s.DataDir, dataFolder))
	if err != nil && !os.IsNotExist(err) {
		return nil, errors.Wrap(err, "list the ledger's folders")
	}
	for _, folder := range folders {
		group := ledger.GroupID(strings.Replace(folder.Name(), "-", "/", 1))
		if folder.IsDir() && !slices.Contains(groups, group) {
			groups = append(groups, group)
		}
	}
	return groups, nil
}

func folderOf(s *settings.Settings, group ledger.GroupID) string {
	return filepath.Join(s.DataDir, dataFolder, strings.ReplaceAll(string(group), "/", "-"))
}

func (r *Role) open(s *settings.Settings, group ledger.GroupID, log zerolog.Logger) error {
	log = log.With().Str("group", string(group)).Logger()
	formation := formationOf(s, group)
	if slices.Contains(Groups(s), group) && !formation.List.Has(s.Instance) {
		return api.FieldErrorf(api.CodeSettingsInvalid, "peers", "%q is not listed with the role ledger", s.Instance)
	}
	replica, err := Open(folderOf(s, group), log, Options{Retention: s.Timeouts.Retention()})
	if err != nil {
		return err
	}
	if err := checkFormed(replica, group, formation); err != nil {
		return err
	}
	j := &joiner{
		group: group, self: s.Instance, formation: formation, mayForm: r.mayForm(group, formation),
		directory: newDirectory(s), replica: replica, log: log,
	}
	j.register()
	r.service.joiners[group] = j
	r.all = append(r.all, j)
	return nil
}

// checkFormed refuses settings that a group was not formed with. The members of
// an active group may have changed since; the settings then only help to find
// them.
func checkFormed(replica *Replica, group ledger.GroupID, formation ledger.Formation) error {
	meta, _ := replica.Meta()
	if meta.Phase == ledger.PhaseEmpty {
		return nil
	}
	if meta.Shards != formation.Shards {
		return api.FieldErrorf(api.CodeLedgerView, "ledgerShards",
			"the group %s was formed with %d shards, the settings name %d", group, meta.Shards, formation.Shards)
	}
	same := slices.Equal(meta.Members, formation.List.Members) && meta.Layout == formation.Layout
	if meta.Phase == ledger.PhaseForming && !same {
		return api.FieldErrorf(api.CodeLedgerView, "ledgerShards",
			"the group %s is being formed by %v, the settings name %v or other shards", group, meta.Members, formation.List.Members)
	}
	return nil
}

// mayForm lets a shard form only once all replicas of the fleet have promised
// the same members of all shards, so that no key ever belongs to two groups.
func (r *Role) mayForm(group ledger.GroupID, formation ledger.Formation) func() bool {
	if group == ledger.FleetGroup || formation.Layout == 0 {
		return func() bool { return true }
	}
	return func() bool {
		meta, _ := r.service.joiners[ledger.FleetGroup].replica.Meta()
		return meta.Phase == ledger.PhaseActive && meta.Layout == formation.Layout
	}
}

// Register adds the role's RPCs to a server.
func (r *Role) Register(mux drpc.Mux) error {
	return errors.Wrap(ledgerpb.DRPCRegisterLedger(mux, r.service), "register the ledger")
}

// AddForeground adds no actor: routers that drain still need their claims.
func (r *Role) AddForeground(*run.Group) {}

// AddBackground adds the replicas' actors.
func (r *Role) AddBackground(group *run.Group) {
	for _, j := range r.all {
		actor.Add(group, j.replica.Run)
		actor.Add(group, func(ctx context.Context) error {
			j.run(ctx)
			return nil
		})
	}
}
