package fleetsync

import "slices"

// Domains returns the failure domains of the registered servers, sorted, and whether the registry
// is complete.
func (s *Service) Domains() (domains []string, complete bool) {
	complete = s.isSynced()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.table.Since(0) {
		if !e.Withdrawn {
			domains = append(domains, e.Domain)
		}
	}
	slices.Sort(domains)
	return slices.Compact(domains), complete
}
