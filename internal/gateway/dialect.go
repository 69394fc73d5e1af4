// Package gateway serves callers on the routes of a route table: it finds route
// and customer, waits for a place on a backend server, sends the request there
// and passes the answer back.
package gateway

import (
	"net/http"
	"time"

	"peridotwinch.example/peridotwinch/internal/placement"
)

// Inbound is what a caller's request says besides its method, path and body.
type Inbound struct {
	// ID names the caller's attempt; every answer to it carries the ID.
	ID string
	// Timeout is how long the caller waits, 0 where it does not say.
	Timeout time.Duration
	// Key is the caller's key, empty without one.
	Key string
	// Parts are the parts of a prompt.
	Parts []placement.PromptPart
	// LastEvent is the last event of a stream that the caller has, or empty.
	LastEvent string
}

// Outbound is what a request tells a backend server.
type Outbound struct {
	// Timeout is the time that is left.
	Timeout time.Duration
	// Server is the ID of the server that the request is meant for.
	Server string
	// Customer is the name of the caller's customer, empty on public routes.
	Customer string
	// LastEvent is the event after which a stream goes on, or empty.
	LastEvent string
	// CopyFrom is the address of a server that may keep the prompt's parts, empty
	// where the server is to read what it lacks.
	CopyFrom string
	// Urgency ranks the request at an engine, 0 is first; nil leaves the default.
	Urgency *int
}

// Answer is what a backend server's answer says besides its body.
type Answer struct {
	// Signed says that the answer bears the server's signature.
	Signed bool
	// NotRun is the server's statement that it did not run the request.
	NotRun bool
	// Load is the server's load where it tells it; At is not set.
	Load *placement.Load
}

// Dialect translates the headers of callers and backend servers.
type Dialect interface {
	// ParseRequest returns what a caller's request says.
	ParseRequest(r *http.Request) Inbound
	// Forward returns the headers of a caller's request as a server gets them.
	Forward(header http.Header, out Outbound) http.Header
	// ParseAnswer returns what a server's answer says.
	ParseAnswer(status int, header http.Header) Answer
	// AnswersAttempt reports whether an answer may belong to the attempt with the ID.
	AnswersAttempt(id string, header http.Header) bool
	// MarkRouterAnswer sets the headers of an answer of the router itself.
	MarkRouterAnswer(header http.Header, id string)
}
