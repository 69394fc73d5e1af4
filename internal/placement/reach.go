package placement

import "time"

const (
	// minLostServers is the number of servers of a failure domain that have to be
	// lost, without an answer from the domain in between, before the whole domain
	// counts as unreachable.
	minLostServers = 2
	// lossWindow is the time for which such losses count.
	lossWindow = 3 * time.Second
)

// reachability is the state of a failure domain derived from this router's
// connections.
type reachability struct {
	lostServers []string
	lostAt      time.Time
}

func (r *reachability) recordLoss(id string, now time.Time) {
	if now.Sub(r.lostAt) > lossWindow {
		r.lostServers = nil
	}
	r.lostAt = now
	for _, lostID := range r.lostServers {
		if lostID == id {
			return
		}
	}
	r.lostServers = append(r.lostServers, id)
}

func (r *reachability) recordAnswer() { r.lostServers = r.lostServers[:0] }

// isUnreachable reports whether the whole failure domain is probably unreachable.
func (r *reachability) isUnreachable(now time.Time) bool {
	return len(r.lostServers) >= minLostServers && now.Sub(r.lostAt) < lossWindow
}
