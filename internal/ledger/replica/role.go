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

// ledgerDir is the directory of the role in the daemon's data directory.
const ledgerDir = "ledger"

// Role is the ledger role of a daemon: one replica in each of its groups.
type Role struct {
	service *service
	// managers has the manager of each group, that of the fleet group first.
	managers []*manager
}

// NewRole opens the replicas of the daemon. It returns an api.Error if their files
// are damaged, or if the settings do not match the shards or members with which a
// group was formed.
func NewRole(s *settings.Settings, log zerolog.Logger) (*Role, error) {
	role := &Role{service: &service{managers: make(map[ledger.GroupID]*manager)}}
	groups, err := localGroups(s)
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

// localGroups returns the groups in the settings and those for which the daemon has
// files: a member list may contain the instance although its settings do not.
func localGroups(s *settings.Settings) ([]ledger.GroupID, error) {
	groups := Groups(s)
	entries, err := os.ReadDir(filepath.Join(s.DataDir, ledgerDir))
	if err != nil && !os.IsNotExist(err) {
		return nil, errors.Wrap(err, "read the ledger directory")
	}
	for _, entry := range entries {
		group := ledger.GroupID(strings.Replace(entry.Name(), "-", "/", 1))
		if entry.IsDir() && !slices.Contains(groups, group) {
			groups = append(groups, group)
		}
	}
	return groups, nil
}

// replicaDir returns the directory of the replica in a group.
func replicaDir(s *settings.Settings, group ledger.GroupID) string {
	return filepath.Join(s.DataDir, ledgerDir, strings.ReplaceAll(string(group), "/", "-"))
}

// open opens the replica in a group and adds its manager.
func (r *Role) open(s *settings.Settings, group ledger.GroupID, log zerolog.Logger) error {
	log = log.With().Str("group", string(group)).Logger()
	formation := configuredFormation(s, group)
	if slices.Contains(Groups(s), group) && !formation.List.Has(s.Instance) {
		return api.FieldErrorf(api.CodeSettingsInvalid, "peers", "instance %q is not listed with the role ledger", s.Instance)
	}
	replica, err := Open(replicaDir(s, group), log, Options{Retention: s.Timeouts.Retention()})
	if err != nil {
		return err
	}
	if err := checkFormation(replica, group, formation); err != nil {
		return err
	}
	mgr := &manager{
		group: group, self: s.Instance, formation: formation, mayForm: r.mayForm(group, formation),
		clients: newClientCache(s), replica: replica, log: log,
	}
	mgr.registerMetrics()
	r.service.managers[group] = mgr
	r.managers = append(r.managers, mgr)
	return nil
}

// checkFormation returns an error if the settings differ from those with which the
// group was formed. The members of an active group may have changed since, so its
// members are not compared; the settings then only provide their addresses.
func checkFormation(replica *Replica, group ledger.GroupID, formation ledger.Formation) error {
	meta, _ := replica.Meta()
	if meta.Phase == ledger.PhaseEmpty {
		return nil
	}
	if meta.Shards != formation.Shards {
		return api.FieldErrorf(api.CodeLedgerView, "ledgerShards",
			"group %s was formed with %d shards, but the settings have %d", group, meta.Shards, formation.Shards)
	}
	same := slices.Equal(meta.Members, formation.List.Members) && meta.Layout == formation.Layout
	if meta.Phase == ledger.PhaseForming && !same {
		return api.FieldErrorf(api.CodeLedgerView, "ledgerShards",
			"group %s is being formed with the members %v, but the settings have the members %v or a different layout of the shards",
			group, meta.Members, formation.List.Members)
	}
	return nil
}

// mayForm returns a function that reports whether a group may form. A shard may form
// only after all replicas of the fleet group have promised the same members of all
// shards, so that no key ever belongs to two groups.
func (r *Role) mayForm(group ledger.GroupID, formation ledger.Formation) func() bool {
	if group == ledger.FleetGroup || formation.Layout == 0 {
		return func() bool { return true }
	}
	return func() bool {
		meta, _ := r.service.managers[ledger.FleetGroup].replica.Meta()
		return meta.Phase == ledger.PhaseActive && meta.Layout == formation.Layout
	}
}

// Register adds the role's RPCs to a server.
func (r *Role) Register(mux drpc.Mux) error {
	return errors.Wrap(ledgerpb.DRPCRegisterLedger(mux, r.service), "register the ledger")
}

// AddForeground adds no actor, because routers still need the ledger for their claims
// while they drain.
func (r *Role) AddForeground(*run.Group) {}

// AddBackground adds the replicas' actors.
func (r *Role) AddBackground(group *run.Group) {
	for _, mgr := range r.managers {
		actor.Add(group, mgr.replica.Run)
		actor.Add(group, func(ctx context.Context) error {
			mgr.run(ctx)
			return nil
		})
	}
}
