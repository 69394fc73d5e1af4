package placement

import "time"

const (
	// maxHomes bounds the remembered prompts: a map of this size takes 300 KB.
	maxHomes = 4096
	// homeKept is how long a server keeps a part that nobody asks for, at least:
	// servers hold many times what is asked for within it.
	homeKept = 60 * time.Second
)

// homes remembers to which server this router sent a prompt's key last.
type homes struct {
	byKey map[uint64]home
	// sent has when a key was sent to a server, by the hash of both.
	sent map[uint64]time.Time
}

type home struct {
	server string
	at     time.Time
}

func newHomes() *homes {
	return &homes{byKey: make(map[uint64]home), sent: make(map[uint64]time.Time)}
}

// get returns the server, or nothing where it is not known or long ago.
func (h *homes) get(key uint64, now time.Time) string {
	found, ok := h.byKey[key]
	if !ok || now.Sub(found.at) > homeKept {
		return ""
	}
	return found.server
}

// set notes a request and reports whether the server has had the key before.
func (h *homes) set(key uint64, server string, now time.Time) (again bool) {
	if len(h.byKey) >= maxHomes || len(h.sent) >= maxHomes {
		h.forget(now)
	}
	both := mix(hashString(server), key)
	at, known := h.sent[both]
	h.sent[both] = now
	h.byKey[key] = home{server: server, at: now}
	return known && now.Sub(at) <= homeKept
}

// forget drops what is old, and if that is little, some of the rest.
func (h *homes) forget(now time.Time) {
	for key, found := range h.byKey {
		if now.Sub(found.at) > homeKept || len(h.byKey) > maxHomes*3/4 {
			delete(h.byKey, key)
		}
	}
	for both, at := range h.sent {
		if now.Sub(at) > homeKept || len(h.sent) > maxHomes*3/4 {
			delete(h.sent, both)
		}
	}
}

// CopySource counts a request that goes to the chosen server. It returns the address of a server from which the chosen one may copy the
// prompt's parts, or nothing where it is likely to have them.
func (p *Pool) CopySource(chosen *Server, request Request, now time.Time) string {
	key, ok := request.Key()
	if !ok || !p.engine {
		return ""
	}
	p.shares.add(key, now)
	home := p.homes.get(key, now)
	if p.homes.set(key, chosen.ID, now) {
		return ""
	}
	if address := p.copyAddress(home, now); address != "" {
		return address
	}
	// This router has not sent the prompt anywhere; others have sent it to the first
	// server of its order, before the newest ones came.
	var best *Server
	for _, s := range p.servers {
		if s == chosen || !s.isReachable(now) {
			continue
		}
		if best == nil || mix(s.hash, key) > mix(best.hash, key) {
			best = s
		}
	}
	if best == nil {
		return ""
	}
	return best.Address
}

func (p *Pool) copyAddress(id string, now time.Time) string {
	if s := p.byID[id]; s != nil && s.isReachable(now) {
		return s.Address
	}
	return p.leaving[id]
}
