package replica

import (
	"peridotwinch.example/peridotwinch/api"
)

// AddStatus implements status.Reporter.
func (r *Role) AddStatus(status *api.DaemonStatus) {
	for _, j := range r.all {
		meta, records := j.replica.Meta()
		active := j.isActive()
		status.Ledger = append(status.Ledger, api.LedgerReplicaStatus{
			Group: string(j.group), Active: active, Generation: meta.Generation,
			Epoch: meta.Epoch, Members: meta.Members, Records: records,
		})
		if !active {
			status.Degrade(api.CodeClaimUnavailable, string(j.group), "the replica grants no key until its group has formed or it has recovered")
		}
	}
}
