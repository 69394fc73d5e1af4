// Package gateway serves callers on the routes of a route table. It resolves route
// and customer, queues the request until a backend server has a free slot, sends it,
// retries it within the retry budget, resumes broken streams and returns the answer.
package gateway

import (
	"net/http"
	"time"

	"peridotwinch.example/peridotwinch/internal/placement"
	"peridotwinch.example/peridotwinch/internal/ratelimit"
)

// Inbound is the metadata of a caller's request that its headers carry.
type Inbound struct {
	// ID identifies the caller's attempt; every answer to it carries the ID.
	ID string
	// Timeout is how long the caller waits; 0 if unspecified.
	Timeout time.Duration
	// Key is the caller's key; empty if it sent none.
	Key string
	// PromptParts are the parts of the prompt in order; empty for requests without a prompt.
	PromptParts []placement.PromptPart
	// LastEventID is the ID of the last stream event that the caller received, or empty.
	LastEventID string
}

// Outbound is the metadata that the gateway adds to a request to a backend server.
type Outbound struct {
	// Timeout is the time until the request's deadline.
	Timeout time.Duration
	// ServerID is the ID of the intended server.
	ServerID string
	// Customer is the name of the caller's customer; empty on public routes.
	Customer string
	// LastEventID is the ID of the event after which the stream resumes, or empty.
	LastEventID string
	// CopyFrom is the address of a server that may cache the prompt's parts; empty if
	// the intended server computes the missing parts itself.
	CopyFrom string
	// Priority is the request's priority at an engine, 0 first; nil means the default.
	Priority *int
}

// Answer is the metadata of a backend server's answer that its headers carry.
type Answer struct {
	// Signed reports whether the answer carries the server's signature.
	Signed bool
	// NotRun is the server's statement that it did not run the request.
	NotRun bool
	// Leaving is the server's statement that it is leaving and takes no further request.
	Leaving bool
	// Pause is how long the server wants no further request from this router; 0 if it does
	// not say so.
	Pause time.Duration
	// Warming is the remaining time for which the server is warming up; 0 if it does not say so.
	Warming time.Duration
	// Load is the load that the server reports, without At; nil if it reports none.
	Load *placement.Load
	// Rate is what the answer states about the rate of requests that the server takes from all
	// routers together, without StatedAt, if RateStated is set.
	Rate       ratelimit.Statement
	RateStated bool
}

// Dialect translates the headers of callers and backend servers.
type Dialect interface {
	// ParseRequest extracts the metadata of a caller's request.
	ParseRequest(r *http.Request) Inbound
	// Forward returns the headers to send to a server for a caller's request. It
	// removes hop-by-hop headers.
	Forward(header http.Header, out Outbound) http.Header
	// ParseAnswer extracts the metadata of a server's answer.
	ParseAnswer(status int, header http.Header) Answer
	// AnswersAttempt reports whether an answer belongs to the attempt with this ID. With mustEcho,
	// an answer without an ID belongs only to an attempt without one.
	AnswersAttempt(id string, header http.Header, mustEcho bool) bool
	// ForwardAnswer removes the headers of a server's answer that mean nothing to callers.
	ForwardAnswer(header http.Header)
	// MarkRouterAnswer sets the headers of an answer that the router itself generates.
	MarkRouterAnswer(header http.Header, id string)
}
