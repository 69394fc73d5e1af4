package fleetsync

import (
	"peridotwinch.example/peridotwinch/internal/evacuation"
	"peridotwinch.example/peridotwinch/internal/rpc/fleetpb"
)

// addEvacuations adds the evacuated failure domains to the first event, which precedes or
// accompanies the first route table, and to the next one after a change.
func (r *routerStream) addEvacuations(event *fleetpb.FollowEvent) {
	set := r.publisher.source.Evacuations()
	if set == nil || r.evacuations != nil && r.evacuations.GetRevision() == set.Revision {
		return
	}
	r.evacuations = &fleetpb.Evacuations{Revision: set.Revision, Domains: set.Domains, Returned: set.Returned}
	event.Evacuations = r.evacuations
}

// FromEvacuations returns the evacuated failure domains of a message.
func FromEvacuations(message *fleetpb.Evacuations) *evacuation.Set {
	return &evacuation.Set{Revision: message.GetRevision(), Domains: message.GetDomains(), Returned: message.GetReturned()}
}
