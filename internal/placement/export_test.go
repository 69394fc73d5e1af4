package placement

// Smallest calls smallest.
var Smallest = smallest

// Ranked returns the IDs of servers in the order of a ranking.
func Ranked(ids []string, key uint64) (out []string) {
	servers := make([]*Server, 0, len(ids))
	for _, id := range ids {
		servers = append(servers, &Server{ServerInfo: ServerInfo{ID: id}, idHash: hashString(id)})
	}
	order := newRanking(servers, func(s *Server) uint64 { return mix(s.idHash, key) })
	for i := range ids {
		out = append(out, order.at(i).ID)
	}
	return out
}

// Score returns the score of a server for a key.
func Score(id string, key uint64) uint64 { return mix(hashString(id), key) }
