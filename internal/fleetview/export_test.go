package fleetview

import (
	"peridotwinch.example/peridotwinch/internal/relay"
	"peridotwinch.example/peridotwinch/internal/rpc/fleetpb"
)

// Receive applies an event of a source.
func (v *View) Receive(source string, event *fleetpb.FollowEvent) error {
	return v.handleEvent(relay.Source{Address: source}, event)
}

// Request returns the next subscription.
func (v *View) Request() *fleetpb.FollowRequest { return v.request() }
