package placement

import "time"

const (
	// maxHistoryEntries bounds the prompt keys that are kept; a map of this size
	// takes 300 KB.
	maxHistoryEntries = 4096
	// promptRetention is a lower bound on how long a server caches a prompt part
	// that is not requested. Servers cache many times the amount that is requested
	// within this time.
	promptRetention = 60 * time.Second
)

// sendHistory records the server to which this router last sent each prompt key.
type sendHistory struct {
	byKey map[uint64]lastSend
	// sentAt has the time at which a key was last sent to a server, by the hash of
	// both.
	sentAt map[uint64]time.Time
}

type lastSend struct {
	server string
	at     time.Time
}

func newSendHistory() *sendHistory {
	return &sendHistory{byKey: make(map[uint64]lastSend), sentAt: make(map[uint64]time.Time)}
}

// lastServer returns the server to which the key was last sent, or an empty string
// if there was none within promptRetention.
func (h *sendHistory) lastServer(key uint64, now time.Time) string {
	last, ok := h.byKey[key]
	if !ok || now.Sub(last.at) > promptRetention {
		return ""
	}
	return last.server
}

// record records that the key is sent to the server, and reports whether the server
// has received it within promptRetention.
func (h *sendHistory) record(key uint64, server string, now time.Time) (alreadySent bool) {
	if len(h.byKey) >= maxHistoryEntries || len(h.sentAt) >= maxHistoryEntries {
		h.evict(now)
	}
	serverKey := mix(hashString(server), key)
	at, known := h.sentAt[serverKey]
	h.sentAt[serverKey] = now
	h.byKey[key] = lastSend{server: server, at: now}
	return known && now.Sub(at) <= promptRetention
}

// evict removes expired entries, and arbitrary others while more than three quarters
// of the capacity are in use.
func (h *sendHistory) evict(now time.Time) {
	for key, last := range h.byKey {
		if now.Sub(last.at) > promptRetention || len(h.byKey) > maxHistoryEntries*3/4 {
			delete(h.byKey, key)
		}
	}
	for serverKey, at := range h.sentAt {
		if now.Sub(at) > promptRetention || len(h.sentAt) > maxHistoryEntries*3/4 {
			delete(h.sentAt, serverKey)
		}
	}
}

// CopySource records that the request is sent to the chosen server. It returns the
// address of a server from which the chosen one may copy the prompt's parts, or an
// empty string if the chosen server probably caches them.
func (p *Pool) CopySource(chosen *Server, request Request, now time.Time) string {
	key, ok := request.Key()
	if !ok || !p.hasPrefixCache {
		return ""
	}
	p.shares.record(key, now)
	class := p.classOf(request)
	if p.classes.balance != nil {
		p.classes.balance.Record(request.Tokens())
	}
	previous := p.history.lastServer(key, now)
	if p.history.record(key, chosen.ID, now) {
		return ""
	}
	if address := p.copySourceAddress(previous, now); address != "" {
		return address
	}
	// This router has not sent the prompt before. Other routers have sent it to the
	// server that ranks first for it, or did before newer servers were added.
	var best *Server
	consider := func(s *Server) {
		if s == chosen || !s.isReachable(now) {
			return
		}
		if best == nil || s.rank(key, class) > best.rank(key, class) {
			best = s
		}
	}
	for _, s := range p.servers {
		consider(s)
	}
	for _, s := range p.evacuated {
		consider(s)
	}
	if best == nil {
		return ""
	}
	return best.Address
}

func (p *Pool) copySourceAddress(id string, now time.Time) string {
	if s := p.byID[id]; s != nil && s.isReachable(now) {
		return s.Address
	}
	return p.drainingAddresses[id]
}
