package replica

import (
	"peridotwinch.example/peridotwinch/api"
)

// AddStatus implements status.Reporter.
func (r *Role) AddStatus(status *api.DaemonStatus) {
	for _, mgr := range r.managers {
		meta, records := mgr.replica.Meta()
		active := mgr.isActive()
		status.Ledger = append(status.Ledger, api.LedgerReplicaStatus{
			Group: string(mgr.group), Active: active, Generation: meta.Generation,
			Epoch: meta.Epoch, Members: meta.Members, Records: records,
		})
		if !active {
			status.Degrade(api.CodeClaimUnavailable, string(mgr.group),
				"the replica grants no keys until its group has formed or the replica has recovered")
		}
	}
}
