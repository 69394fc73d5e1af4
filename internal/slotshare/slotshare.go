// Package slotshare has the rules by which one router, the coordinator, grants the slots of a
// small pool of backend servers to all routers. A request is granted a server that has a free
// slot, waits for one, or is refused. The package does no I/O, starts no goroutine and reads no
// clock.
package slotshare

import "time"

// Server is a backend server whose slots are granted.
type Server struct {
	// Hash identifies the incarnation of the server.
	Hash   uint64
	Domain string
	Slots  int
}

// Ask is a request for a slot.
type Ask struct {
	// ID identifies the request among those of its router.
	ID uint64
	// Customer identifies the customer, 0 for requests without one.
	Customer uint64
	// Priority is the request's priority; lower values are served first.
	Priority int
	// Domain is the failure domain of the router.
	Domain string
	// OnTime is until when an answer meets the request's latency objective, and Deadline is
	// until when it is of use at all.
	OnTime, Deadline time.Time
	// Unusable lists the servers that the router cannot use for the request: it was sent to
	// them before, or the router cannot reach them or may not send to them.
	Unusable []uint64
}

// Verdict is the coordinator's answer to an ask.
type Verdict uint8

// Verdicts.
const (
	// VerdictGranted means that the request has a slot on the server of the decision.
	VerdictGranted Verdict = iota + 1
	// VerdictQueued means that the request waits; a second decision follows.
	VerdictQueued
	// VerdictRefused means that the request cannot be served before its deadline, or that too
	// many wait.
	VerdictRefused
	// VerdictPassed means that the coordinator knows no server that the request can use; its
	// router decides alone.
	VerdictPassed
)

// String returns the name of the verdict in metrics.
func (v Verdict) String() string {
	switch v {
	case VerdictGranted:
		return "granted"
	case VerdictQueued:
		return "queued"
	case VerdictRefused:
		return "refused"
	case VerdictPassed:
		return "passed"
	}
	return "invalid"
}

// Decision is a verdict on a router's ask.
type Decision struct {
	Router  string
	ID      uint64
	Verdict Verdict
	// Server is the server of a granted slot.
	Server uint64
	// RetryAfter is, for a refusal, the expected time until a request of this kind is served.
	RetryAfter time.Duration
}

// Outcome is how a request left its server.
type Outcome uint8

// Outcomes.
const (
	// OutcomeUnknown gives no evidence about the server; the request may not have been sent.
	OutcomeUnknown Outcome = iota
	// OutcomeAnswered means that the server answered.
	OutcomeAnswered
	// OutcomeFull means that the server refused the request.
	OutcomeFull
	// OutcomeFailed means that the answer reported a failure or was incomplete.
	OutcomeFailed
	// OutcomeLost means that the server could not be reached, or closed the connection.
	OutcomeLost
)

// MaxServers is the largest number of servers of a pool whose slots one coordinator grants: the
// requests of a larger pool are too many for one router.
const MaxServers = 32

// Parameters of the coordinator.
const (
	// maxQueued bounds the requests that wait for a pool. 512 requests of 60 ms take 0.7 s on 42
	// slots; a request has 256 bytes.
	maxQueued = 512
	// maxGrants bounds the slots that are recorded as held, against routers that never release.
	maxGrants = 1 << 14
	// grantOverrun is how long after its deadline a request may hold its slot. Routers release at
	// the deadline; a slot that is never released must not be lost for good.
	grantOverrun = time.Second
	// orphanFactor is the time, in expected service times, for which the slots of a router that
	// was lost stay taken: its servers may still run the requests.
	orphanFactor = 2
	// maxOrphanTime bounds that time.
	maxOrphanTime = 2 * time.Second
	// firstBlock is the time without grants after a server was lost; it doubles with each further
	// loss up to maxBlock.
	firstBlock = 300 * time.Millisecond
	maxBlock   = 3 * time.Second
	// minFailures is the number of consecutive failed answers from which a server is avoided like
	// a lost one. Healthy servers fail one request in seven.
	minFailures = 3
	// crossDomainCost is the added cost of a server in another failure domain than the router.
	crossDomainCost = 3 * time.Millisecond
	// loadWeight is the share of its service time by which a server with all slots taken costs
	// more than an idle one: servers on the same machine slow each other down.
	loadWeight = 0.25
	// spreadMargin is the number of mean deviations that are added to the expected service time
	// to decide whether a request can still be on time. Without a margin, half of the requests
	// that are served last in a burst are late.
	spreadMargin = 1.0
	// maxAhead is the number of requests beyond its slots that a server may hold. They start as
	// soon as a slot becomes free: at 3.5 ms between a router and the coordinator, a slot of 60 ms
	// is otherwise idle for a tenth of the time.
	maxAhead = 1
	// fullMemory is the time without requests beyond its slots for a server that refused one: it
	// has no queue, or others fill it.
	fullMemory = 10 * time.Second
)
