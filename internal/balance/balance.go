// Package balance decides which backend server takes a request, in which order
// requests queue, and how many extra attempts they get. It is pure: it takes the
// time as an argument, does no I/O and starts no goroutine.
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
	// PeerInFlight is the number of requests that the other routers report in flight
	// on the server, and PeerInFlightAt the local receipt time of their newest
	// report; it is zero while the report of any of them is missing or stale.
	PeerInFlight   int
	PeerInFlightAt time.Time
	// Owner is the router that grants reservations on the server, as seen by this
	// router.
	Owner Ownership
	// Since is the time at which this incarnation was first seen; the zero time
	// means that the server is warm.
	Since time.Time
}

// Ownership classifies which router grants reservations on a server.
type Ownership int

// Values of Ownership.
const (
	// OwnerNone means that the server has no reachable owner.
	OwnerNone Ownership = iota
	// OwnerSelf means that this router owns the server, so Server.PeerInFlight is
	// exact.
	OwnerSelf
	// OwnerPeer means that another router owns the server: a picked server takes the
	// request only after the owner has granted a reservation.
	OwnerPeer
)

// Request holds the properties of a request that a placement depends on.
type Request struct {
	// Chat identifies the chat; empty for a request without a chat.
	Chat string
	// Hint is the server named in the caller's affinity header, or empty.
	Hint ServerID
	// HintIncarnation is the incarnation of Hint; zero matches any incarnation.
	HintIncarnation uint64
	Customer        string
	Weight          int
	Class           api.Class
	// FirstByteWithin is the maximum time to the first byte; zero means no limit.
	FirstByteWithin time.Duration
	// NoOverflow keeps the request in this failure domain.
	NoOverflow bool
	// Exclude lists the servers on which this request has already failed.
	Exclude []ServerID
	// Refused lists the servers whose owners have just refused a reservation.
	Refused []ServerID
	// SkipReservation places the request without a reservation because the servers'
	// owners do not answer.
	SkipReservation bool
	// IgnoreLoadBound exempts the request from the load bound; only the slots limit
	// its placement.
	IgnoreLoadBound bool
}

// Result is the outcome of a request on a server.
type Result struct {
	FirstByte time.Duration
	Failed    bool
}

// FirstByteObserver is implemented by balancers that use the time to the first byte
// before the answer is complete.
type FirstByteObserver interface {
	// FirstByte records the time to the first byte of an answer. The Result later
	// passed to Done for the same request then has no FirstByte.
	FirstByte(now time.Time, request Request, server ServerID, firstByte time.Duration)
}

// Balancer places requests on the servers of a pool. It is not safe for concurrent
// use.
type Balancer interface {
	// Pick returns the server that takes the request now, or false if no server may
	// take it. A picked request counts as in flight until Done.
	Pick(now time.Time, request Request, view *View) (ServerID, bool)
	// Done records that a picked request has left the server, with its time to the
	// first byte and whether the server failed it.
	Done(now time.Time, request Request, server ServerID, result Result)
}

// hintSeparator separates the address from the incarnation in an affinity header.
const hintSeparator = "#"

// FormatHint returns the affinity header for a server and its incarnation.
func FormatHint(id ServerID, incarnation uint64) string {
	return string(id) + hintSeparator + strconv.FormatUint(incarnation, 36)
}

// ParseHint splits an affinity header into server and incarnation. The incarnation
// is zero if the header has none; the server is empty if the incarnation is not
// valid.
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

func (r *Request) isHinted(server *Server) bool {
	if r.Hint != server.ID {
		return false
	}
	return r.HintIncarnation == 0 || r.HintIncarnation == server.Incarnation
}
