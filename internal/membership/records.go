package membership

import "time"

// Records returns the records of all servers by address, with those that have
// fallen silent and are not forgotten yet.
func (s *Service) Records() []Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Advance(time.Now())
	return s.table.Records()
}
