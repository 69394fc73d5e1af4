package fleetsync

import "time"

// livenessRefresh is the age of the last announcement that another replica knows of from which a
// digest repeats a server. Digests are up to digestInterval + shareTimeout apart, so the other
// replica's knowledge stays younger than 3.3 s, which is below registry.SilentAfter. In smaller fleets
// each digest has all servers: when a replica freezes, its servers reach another one up to 2.2 s later,
// and count as silent for a moment if the knowledge is already old.
const livenessRefresh = 2200 * time.Millisecond

// sentLiveness holds the announcement times that another replica was last sent, by the servers'
// hashes.
type sentLiveness map[uint64]time.Time

// due returns the announcement times to send at now. With every digest all 3,000 servers of a
// large fleet would be repeated three times as often as the other replica needs.
func (t sentLiveness) due(announcedAt map[uint64]time.Time, now time.Time) map[uint64]time.Time {
	out := make(map[uint64]time.Time, len(announcedAt)/2)
	for hash, at := range announcedAt {
		if sent := t[hash]; at.After(sent) && now.Sub(sent) >= livenessRefresh {
			out[hash] = at
		}
	}
	return out
}

// record records that the other replica has received the announcement times, and forgets servers
// that no longer announce themselves to this replica.
func (t sentLiveness) record(sent, announcedAt map[uint64]time.Time) {
	for hash, at := range sent {
		t[hash] = at
	}
	if len(t) <= len(announcedAt) {
		return
	}
	for hash := range t {
		if _, found := announcedAt[hash]; !found {
			delete(t, hash)
		}
	}
}
