package relay

// AnnouncementAddress returns the address of the subscriber to which a server should send its
// announcements, or an empty string. Those that serves accepts and that are of the server's failure
// domain are preferred; among equals the choice depends on the server's ID only, so that it is even
// and stays the same while the subscribers do.
func (a *Admission) AnnouncementAddress(server, domain string, serves func(instance string) bool) string {
	best, bestScore, bestLocal := "", uint64(0), false
	for _, s := range a.subscribers {
		if s.AnnouncementAddress == "" || s.refusesAnnouncements || !serves(s.Instance) {
			continue
		}
		local, score := s.FailureDomain == domain, score(server, s.AnnouncementAddress)
		if best == "" || local && !bestLocal || local == bestLocal && score < bestScore {
			best, bestScore, bestLocal = s.AnnouncementAddress, score, local
		}
	}
	return best
}

// SetRefusesAnnouncements records whether a subscriber takes no more servers' announcements.
func (a *Admission) SetRefusesAnnouncements(instance string, refuses bool) {
	for id, s := range a.subscribers {
		if s.Instance == instance && s.refusesAnnouncements != refuses {
			s.refusesAnnouncements = refuses
			a.subscribers[id] = s
		}
	}
}
