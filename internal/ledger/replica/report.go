package replica

import (
	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/ledger"
)

// AddStatus implements status.Reporter.
func (r *Role) AddStatus(status *api.DaemonStatus) {
	for _, k := range r.keepers {
		meta, records := k.replica.Meta()
		active := meta.Phase == ledger.PhaseActive
		status.Ledger = append(status.Ledger, api.LedgerReplicaStatus{
			Group: string(k.group), Active: active, Generation: meta.Generation,
			Epoch: meta.Epoch, Members: k.names, Records: records,
		})
		if !active {
			status.Degrade(api.CodeClaimUnavailable, string(k.group), "the replica grants no key until its group has formed or it has recovered")
		}
	}
}
