package placement

import (
	"slices"
	"time"
)

// ServerInfo is what control reports about a server.
type ServerInfo struct {
	ID      string
	Address string
	Domain  string
	Slots   int
	// Silent servers have missed their announcements for some time.
	Silent bool
	// Hash identifies the incarnation of the server.
	Hash uint64
	// Draining servers take no new requests, but others may still copy prompt parts
	// from them.
	Draining bool
	// StartedMS is the Unix millisecond of the incarnation's start.
	StartedMS int64
	// AppearedAt is when the router learned of an incarnation that started while the
	// router was running, HeardAt when control last received an announcement of it,
	// and WarmupUntil the end of the warm-up that it stated; each may be zero.
	AppearedAt, HeardAt, WarmupUntil time.Time
}

// SetServers replaces the servers with those that control lists at now. It keeps the
// state of servers whose ID and address stay the same. A server that has stated that it
// is leaving counts as draining, whatever control lists. The pool keeps infos.
func (p *Pool) SetServers(infos []ServerInfo, now time.Time) {
	p.listed = infos
	servers := make([]*Server, 0, len(infos))
	evacuated := make(map[string]*Server)
	byID := make(map[string]*Server, len(infos))
	p.byHash = make(map[uint64]*Server, len(infos))
	clear(p.drainingAddresses)
	p.listedAt = now
	infos = p.withoutIgnoredSilence(infos)
	groups := p.groupByAddress(infos, now)
	for _, info := range infos {
		group := groups[info.Address]
		if group.startedMS != info.StartedMS || group.leaving {
			p.drainingAddresses[info.ID] = info.Address
			continue
		}
		s := p.serverOf(info)
		s.sameAddress = group.hashes
		p.applyListedWarmup(s, now)
		if slices.Contains(p.evacuatedDomains, info.Domain) {
			evacuated[info.ID] = s
			p.drainingAddresses[info.ID] = info.Address
			continue
		}
		servers = append(servers, s)
		byID[info.ID] = s
		p.byHash[info.Hash] = s
	}
	slices.SortFunc(servers, func(a, b *Server) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	p.servers, p.byID, p.evacuated = servers, byID, evacuated
}

// serverOf returns the server that control lists, with the state that this router has of it.
func (p *Pool) serverOf(info ServerInfo) *Server {
	s := p.byID[info.ID]
	if s == nil {
		s = p.evacuated[info.ID]
	}
	if s == nil || s.Address != info.Address {
		s = &Server{idHash: hashString(info.ID), addressHash: hashString(info.Address)}
	}
	s.ServerInfo = info
	return s
}

// Size returns the number of servers, without draining and evacuated ones.
func (p *Pool) Size() int { return len(p.servers) }
