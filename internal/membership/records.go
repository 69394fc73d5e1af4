package membership

import "time"

// Records returns the records of all servers by address, including silent servers and
// tombstones.
func (s *Service) Records() []Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Advance(time.Now())
	return s.table.Records()
}
