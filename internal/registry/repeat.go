package registry

import "time"

// IsRepeatedBy reports whether an announcement received at now says only what the entry of a ready
// server already has, so that nothing but the time of the announcement is news.
func (e *Entry) IsRepeatedBy(s *Server, now time.Time) bool {
	return e.State == StateReady && !e.Silent && s.ID == e.ID && s.StartedMS == e.StartedMS && s.Domain == e.Domain &&
		equalForRouters(s, &e.Server) && !e.endsLater(s.warmupUntil(now))
}
