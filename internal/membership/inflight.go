package membership

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// InFlight tells this router's work in flight.
type InFlight interface {
	// InFlight returns the requests in flight on each of the servers.
	InFlight(addresses []string) []uint32
}

// InFlightAge is the age at which another router's report of its work counts no more.
const InFlightAge = 3 * time.Second

// inFlightReport is what another router told of its work in flight, by address.
type inFlightReport struct {
	at     time.Time
	counts map[string]int
}

// SetInFlightSource sets what tells this router's work; it is called before Run.
func (s *Service) SetInFlightSource(inFlight InFlight) { s.inFlight = inFlight }

// presentServers are the addresses of the servers that are not silent at a
// version of the table, and a hash of them.
type presentServers struct {
	version   uint64
	addresses []string
	digest    uint64
}

// present returns the addresses of the servers that are not silent, and a hash
// of them. Routers that know the same servers agree on both. They are worked out
// once for a version of the table, because each exchange asks for them twice.
func (s *Service) present() ([]string, uint64) {
	version := s.table.Version()
	if s.presentNow.addresses == nil || s.presentNow.version != version {
		s.presentNow = presentServers{version: version, addresses: []string{}}
		digest := xxhash.New()
		for _, server := range s.table.Servers() {
			s.presentNow.addresses = append(s.presentNow.addresses, server.Address)
			_, _ = digest.WriteString(server.Address + "\x00")
		}
		s.presentNow.digest = digest.Sum64()
	}
	return s.presentNow.addresses, s.presentNow.digest
}

// hearInFlight takes another router's counts. Counts over other servers than this
// router knows are dropped: the routers agree again within an exchange or two.
func (s *Service) hearInFlight(now time.Time, instance string, of uint64, counts []uint32) {
	addresses, digest := s.present()
	if of != digest || len(counts) != len(addresses) {
		return
	}
	heard := inFlightReport{at: now, counts: make(map[string]int, len(counts))}
	for i, address := range addresses {
		heard.counts[address] = int(counts[i])
	}
	s.reports[instance] = heard
}

// addOthers adds the other live routers' work in flight to the servers.
func (s *Service) addOthers(now time.Time, servers []Server) {
	newest := time.Time{}
	for _, peer := range s.peers {
		if !s.isLive(now, peer) {
			continue
		}
		heard := s.reports[peer.instance]
		if now.Sub(heard.at) > InFlightAge {
			return
		}
		if heard.at.After(newest) {
			newest = heard.at
		}
	}
	for i := range servers {
		servers[i].PeerInFlightAt = newest
		for _, peer := range s.peers {
			if s.isLive(now, peer) {
				servers[i].PeerInFlight += s.reports[peer.instance].counts[servers[i].Address]
			}
		}
	}
}

// isLive reports whether a router has been heard lately.
func (s *Service) isLive(now time.Time, peer *peerLink) bool {
	return now.Sub(s.heard[peer.instance]) <= s.silence
}
