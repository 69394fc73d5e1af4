package fleetview

import (
	"peridotwinch.example/peridotwinch/internal/evacuation"
	"peridotwinch.example/peridotwinch/internal/fleetsync"
	"peridotwinch.example/peridotwinch/internal/rpc/fleetpb"
)

// applyEvacuations puts the evacuations of an event in force if they are the first ones or have a
// higher revision: a source that lags behind must not restore an earlier state. Only the goroutine
// that follows calls it.
func (v *View) applyEvacuations(message *fleetpb.Evacuations) {
	current := v.evacuations.Load()
	if message == nil || current != nil && message.GetRevision() <= current.Revision {
		return
	}
	set := fleetsync.FromEvacuations(message)
	var returned []string
	if current != nil {
		returned = set.ReturnedSince(current.Revision)
	}
	v.fleet.SetEvacuated(set.Domains, returned)
	v.evacuations.Store(set)
	v.notify()
	if current != nil || len(set.Domains) > 0 {
		v.log.Info().Uint64("revision", set.Revision).Strs("domains", set.Domains).Strs("returned", returned).Msg("evacuated failure domains in force")
	}
}

// hasEvacuations reports whether the router has the evacuations of a revision; a source without
// any orders states revision 0.
func (v *View) hasEvacuations(revision uint64) bool {
	set := v.evacuations.Load()
	return revision == 0 || set != nil && set.Revision >= revision
}

// Evacuations implements fleetsync.Source.
func (s *viewSource) Evacuations() *evacuation.Set { return s.view.evacuations.Load() }
