package fleetview

import (
	"time"

	"peridotwinch.example/peridotwinch/internal/rpc/fleetpb"
)

// applySlotCoordinator applies the coordinator of the slots of small pools, if the event has one.
func (v *View) applySlotCoordinator(event *fleetpb.FollowEvent) {
	if event.GetSlotCoordinator() == nil {
		return
	}
	address := v.relay.MergeCoordinator(event.GetSlotCoordinator(), time.Now())
	if v.onSlotCoordinator != nil {
		v.onSlotCoordinator(address)
	}
}

// WithdrawCoordinator makes control name another coordinator of slots before this router ends.
func (v *View) WithdrawCoordinator() { v.slotAddress.Store(new(string)) }
