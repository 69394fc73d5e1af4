package placement

import "time"

const (
	// cutServers is how many servers of a failure domain have to be lost, without
	// an answer from the domain in between, before all of it counts as cut off.
	cutServers = 2
	// cutTrust is how long such losses speak against the domain.
	cutTrust = 3 * time.Second
)

// reach is what a router's connections tell of a failure domain.
type reach struct {
	lostServers []string
	lostAt      time.Time
}

func (r *reach) lost(id string, now time.Time) {
	if now.Sub(r.lostAt) > cutTrust {
		r.lostServers = nil
	}
	r.lostAt = now
	for _, known := range r.lostServers {
		if known == id {
			return
		}
	}
	r.lostServers = append(r.lostServers, id)
}

func (r *reach) answered() { r.lostServers = r.lostServers[:0] }

// isCut reports whether the whole domain seems to be out of reach.
func (r *reach) isCut(now time.Time) bool {
	return len(r.lostServers) >= cutServers && now.Sub(r.lostAt) < cutTrust
}
