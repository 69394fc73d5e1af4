package membership

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// InFlightSource provides this router's work in flight.
type InFlightSource interface {
	// InFlight returns the number of requests in flight on each of the servers, in the
	// order of addresses.
	InFlight(addresses []string) []uint32
}

// MaxInFlightAge is the age above which another router's report of its work in flight
// is stale.
const MaxInFlightAge = 3 * time.Second

// inFlightReport is another router's last report of its work in flight, by server
// address.
type inFlightReport struct {
	at     time.Time
	counts map[string]int
}

// SetInFlightSource sets the source of this router's work in flight. It must be called
// before Run.
func (s *Service) SetInFlightSource(source InFlightSource) { s.inFlightSource = source }

// presentServers holds the addresses of the servers that are not silent at a version
// of the table, and a hash of them.
type presentServers struct {
	version   uint64
	addresses []string
	digest    uint64
}

// present returns the addresses of the servers that are not silent, and a hash of
// them. Routers whose tables list the same servers agree on both. The result is
// cached per version of the table, because each exchange needs it twice.
func (s *Service) present() ([]string, uint64) {
	version := s.table.Version()
	if s.presentCache.addresses == nil || s.presentCache.version != version {
		s.presentCache = presentServers{version: version, addresses: []string{}}
		digest := xxhash.New()
		for _, server := range s.table.Servers() {
			s.presentCache.addresses = append(s.presentCache.addresses, server.Address)
			_, _ = digest.WriteString(server.Address + "\x00")
		}
		s.presentCache.digest = digest.Sum64()
	}
	return s.presentCache.addresses, s.presentCache.digest
}

// recordInFlight records another router's counts. It drops counts for another list of
// servers than this router's; the lists agree again within one or two exchanges.
func (s *Service) recordInFlight(now time.Time, instance string, serversDigest uint64, counts []uint32) {
	addresses, digest := s.present()
	if serversDigest != digest || len(counts) != len(addresses) {
		return
	}
	report := inFlightReport{at: now, counts: make(map[string]int, len(counts))}
	for i, address := range addresses {
		report.counts[address] = int(counts[i])
	}
	s.inFlightReports[instance] = report
}

// addPeerInFlight adds the other live routers' work in flight to the servers. It adds
// nothing while the report of any live router is missing or stale.
func (s *Service) addPeerInFlight(now time.Time, servers []Server) {
	newest := time.Time{}
	for _, peer := range s.peers {
		if !s.isLive(now, peer) {
			continue
		}
		report := s.inFlightReports[peer.instance]
		if now.Sub(report.at) > MaxInFlightAge {
			return
		}
		if report.at.After(newest) {
			newest = report.at
		}
	}
	for i := range servers {
		servers[i].PeerInFlightAt = newest
		for _, peer := range s.peers {
			if s.isLive(now, peer) {
				servers[i].PeerInFlight += s.inFlightReports[peer.instance].counts[servers[i].Address]
			}
		}
	}
}

// isLive reports whether the last contact with a router is within the silence timeout.
func (s *Service) isLive(now time.Time, peer *peerLink) bool {
	return now.Sub(s.lastContact[peer.instance]) <= s.silenceTimeout
}
