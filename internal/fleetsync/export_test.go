package fleetsync

import "peridotwinch.example/peridotwinch/internal/registry"

// IsSynced lets tests ask what routers wait for.
func (s *Service) IsSynced() bool { return s.isSynced() }

// StateOf returns the state of a server, 0 where it is not known.
func (s *Service) StateOf(id string) registry.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, _ := s.table.Get(id)
	return e.State
}
