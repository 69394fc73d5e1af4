// Package balance decides which backend server takes a request. It is pure: it
// takes the time as an argument, does no I/O and starts no goroutine.
package balance

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"peridotwinch.example/peridotwinch/api"
)

// ServerID identifies a backend server by its address.
type ServerID string

// Server is a backend server that may take a request.
type Server struct {
	ID          ServerID
	Incarnation uint64
	Slots       int
	// ReportedLoad is the newest load report, and ReportedAt its local receipt time.
	ReportedLoad int
	ReportedAt   time.Time
}

// Request is what a decision knows of a request.
type Request struct {
	// Chat identifies the chat; empty for a request without one.
	Chat string
	// Hint is the server that the caller's affinity header names, or empty.
	Hint     ServerID
	Customer string
	Weight   int
	Class    api.Class
	// NoOverflow keeps the request in this failure domain.
	NoOverflow bool
	// Exclude lists servers that this request has already failed on.
	Exclude []ServerID
}

// Balancer chooses among the servers of a pool. It is not safe for concurrent use.
type Balancer interface {
	// Pick returns the server that takes the request now, or false where none may.
	// A picked request counts as in flight until Done.
	Pick(now time.Time, request Request, servers []Server) (ServerID, bool)
	// Done tells that a picked request has left the server, with the time that
	// its first byte took and whether the server failed it.
	Done(now time.Time, request Request, server ServerID, result Result)
}

// Result tells how a server handled a request.
type Result struct {
	FirstByte time.Duration
	Failed    bool
}

// Rendezvous is plain weighted rendezvous hashing within the servers' slots.
type Rendezvous struct {
	inFlight map[ServerID]int
}

// NewRendezvous returns a balancer without requests in flight.
func NewRendezvous() *Rendezvous { return &Rendezvous{inFlight: make(map[ServerID]int)} }

// Pick implements Balancer.
func (r *Rendezvous) Pick(_ time.Time, request Request, servers []Server) (ServerID, bool) {
	var best ServerID
	var bestScore uint64
	for _, server := range servers {
		if r.inFlight[server.ID] >= server.Slots || excluded(request, server.ID) {
			continue
		}
		score := xxhash.Sum64String(request.Chat + "\x00" + string(server.ID))
		if best == "" || score > bestScore {
			best, bestScore = server.ID, score
		}
	}
	if best == "" {
		return "", false
	}
	r.inFlight[best]++
	return best, true
}

// Done implements Balancer.
func (r *Rendezvous) Done(_ time.Time, _ Request, server ServerID, _ Result) {
	r.inFlight[server]--
	if r.inFlight[server] <= 0 {
		delete(r.inFlight, server)
	}
}

func excluded(request Request, id ServerID) bool {
	for _, other := range request.Exclude {
		if other == id {
			return true
		}
	}
	return false
}
