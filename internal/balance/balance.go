// Package balance decides which backend server takes a request, in what order
// requests wait, and how often they are repeated. It is pure: it takes the time
// as an argument, does no I/O and starts no goroutine.
package balance

import (
	"slices"
	"strconv"
	"strings"
	"time"

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
	// PeerInFlight is the work in flight of the other routers, as they told it, and
	// PeerInFlightAt the local receipt time of their newest report; zero while one of
	// them has not told it lately.
	PeerInFlight   int
	PeerInFlightAt time.Time
	// Owner tells who grants places on the server.
	Owner Ownership
	// Since is when this incarnation was first known; zero counts as long ago.
	Since time.Time
}

// Ownership tells which router grants places on a server.
type Ownership int

// Ownerships of a server.
const (
	// OwnerNone is a server without a reachable owner.
	OwnerNone Ownership = iota
	// OwnerSelf is a server that this router owns: Server.PeerInFlight is exact.
	OwnerSelf
	// OwnerPeer is a server whose owner another router is: a picked place counts
	// once that one has granted it.
	OwnerPeer
)

// Request is what a decision knows of a request.
type Request struct {
	// Chat identifies the chat; empty for a request without one.
	Chat string
	// Hint is the server that the caller's affinity header names, or empty.
	Hint ServerID
	// HintIncarnation is the incarnation of Hint; zero matches any.
	HintIncarnation uint64
	Customer        string
	Weight          int
	Class           api.Class
	// FirstByteWithin bounds the time to the first byte; zero means no bound.
	FirstByteWithin time.Duration
	// NoOverflow keeps the request in this failure domain.
	NoOverflow bool
	// Exclude lists servers that this request has already failed on.
	Exclude []ServerID
	// Refused lists servers whose owners have just refused a place.
	Refused []ServerID
	// SkipReservation says that the servers' owners do not answer, so that none is asked.
	SkipReservation bool
	// IgnoreLoadBound says that only a lack of slots keeps the request from a server.
	IgnoreLoadBound bool
}

// Result tells how a server handled a request.
type Result struct {
	FirstByte time.Duration
	Failed    bool
}

// FirstByteObserver is a balancer that wants to know of a slow server before
// the answer is whole.
type FirstByteObserver interface {
	// FirstByte tells the time that the first byte of an answer took. The result
	// that Done gets for the request then has none.
	FirstByte(now time.Time, request Request, server ServerID, took time.Duration)
}

// Balancer chooses among the servers of a pool. It is not safe for concurrent use.
type Balancer interface {
	// Pick returns the server that takes the request now, or false where none may.
	// A picked request counts as in flight until Done.
	Pick(now time.Time, request Request, view *View) (ServerID, bool)
	// Done tells that a picked request has left the server, with the time that
	// its first byte took and whether the server failed it.
	Done(now time.Time, request Request, server ServerID, result Result)
}

// hintSeparator stands between the address and the incarnation of a hint.
const hintSeparator = "#"

// FormatHint returns the affinity header for a server and its incarnation.
func FormatHint(id ServerID, incarnation uint64) string {
	return string(id) + hintSeparator + strconv.FormatUint(incarnation, 36)
}

// ParseHint splits an affinity header. A header without an incarnation gives
// zero, and one that is not valid gives an empty server.
func ParseHint(header string) (ServerID, uint64) {
	id, raw, found := strings.Cut(header, hintSeparator)
	if !found {
		return ServerID(id), 0
	}
	incarnation, err := strconv.ParseUint(raw, 36, 64)
	if err != nil {
		return "", 0
	}
	return ServerID(id), incarnation
}

func (r *Request) excludes(id ServerID) bool {
	return slices.Contains(r.Exclude, id) || slices.Contains(r.Refused, id)
}

func (r *Request) hints(server *Server) bool {
	if r.Hint != server.ID {
		return false
	}
	return r.HintIncarnation == 0 || r.HintIncarnation == server.Incarnation
}
