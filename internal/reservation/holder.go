package reservation

import "slices"

// Message reports to the owner of a server how many reservations the sender
// holds on it, and requests further ones. Held is an absolute count, so that a
// repeated message is idempotent.
type Message struct {
	Server string
	// Held is the number of reservations that the sender holds.
	Held int
	// Requested is the number of further reservations requested. The owner does not
	// answer a message in which it is zero. IgnoringLoadBound of them are not subject
	// to the load bound: the owner refuses them only if no slot is free.
	Requested         int
	IgnoringLoadBound int
}

// Token identifies a request for a reservation; the caller chooses the values.
type Token uint64

// Holder tracks one router's reservations on the servers that one other router
// owns. At most one message per server awaits an answer, so that Message.Held is
// exact when it is sent. Holder is not safe for concurrent use.
type Holder struct {
	servers map[string]*heldServer
}

// heldServer is a holder's state for one server.
type heldServer struct {
	held int
	// unanswered has the requests of the message that awaits an answer, those that
	// ignore the load bound first.
	unanswered []Token
	// queued has the requests of the next message that respect the load bound, and
	// queuedIgnoringBound those that ignore it.
	queued              []Token
	queuedIgnoringBound []Token
	// reported is the number of reservations that the owner counts: what it was
	// last sent and has granted since.
	reported int
}

// NewHolder returns a holder without reservations.
func NewHolder() *Holder { return &Holder{servers: make(map[string]*heldServer)} }

// Request requests a reservation. It returns the message to send, or false if a
// message about the server still awaits its answer; the request is queued then. With
// ignoreLoadBound the owner refuses the request only if no slot is free, whatever the
// load bound.
func (h *Holder) Request(server string, token Token, ignoreLoadBound bool) (Message, bool) {
	s := h.server(server)
	if ignoreLoadBound {
		s.queuedIgnoringBound = append(s.queuedIgnoringBound, token)
	} else {
		s.queued = append(s.queued, token)
	}
	return h.next(server, s)
}

// AddUngranted adds a reservation that the owner has not granted.
func (h *Holder) AddUngranted(server string) (Message, bool) {
	s := h.server(server)
	s.held++
	return h.next(server, s)
}

// Release releases one reservation.
func (h *Holder) Release(server string) (Message, bool) {
	s := h.server(server)
	s.held = max(s.held-1, 0)
	return h.next(server, s)
}

// HandleAnswer applies the answer to the unanswered message about a server, which
// grants count reservations. It returns the tokens of the granted requests, which
// are the first count in the order of the message, and of the refused ones, and the
// next message if there is one.
func (h *Holder) HandleAnswer(server string, count int) (granted, refused []Token, message Message, more bool) {
	s := h.server(server)
	count = min(max(count, 0), len(s.unanswered))
	granted, refused = s.unanswered[:count], s.unanswered[count:]
	s.unanswered = nil
	s.held += count
	s.reported += count
	message, more = h.next(server, s)
	return granted, refused, message, more
}

// Cancel removes all unanswered and queued requests, because the owner cannot be
// reached, and returns their tokens. Reservations that the owner has granted since
// its last answer are void, because a new stream starts with Held.
func (h *Holder) Cancel() []Token {
	var out []Token
	for _, s := range h.servers {
		out = slices.Concat(out, s.unanswered, s.queuedIgnoringBound, s.queued)
		s.unanswered, s.queuedIgnoringBound, s.queued = nil, nil, nil
		s.reported = 0
	}
	return out
}

// Held returns one message for each server with reservations. A new stream to the
// owner starts with them.
func (h *Holder) Held() []Message {
	var out []Message
	for server, s := range h.servers {
		if s.held > 0 {
			s.reported = s.held
			out = append(out, Message{Server: server, Held: s.held})
		}
	}
	return out
}

func (h *Holder) server(server string) *heldServer {
	s := h.servers[server]
	if s == nil {
		s = &heldServer{}
		h.servers[server] = s
	}
	return s
}

// next returns the next message about a server. It returns false while a message
// is unanswered, or if there is no request and the owner has the current count.
func (h *Holder) next(server string, s *heldServer) (Message, bool) {
	requested := len(s.queued) + len(s.queuedIgnoringBound)
	if len(s.unanswered) > 0 || requested == 0 && s.reported == s.held {
		return Message{}, false
	}
	message := Message{Server: server, Held: s.held, Requested: requested, IgnoringLoadBound: len(s.queuedIgnoringBound)}
	s.unanswered, s.queuedIgnoringBound, s.queued = slices.Concat(s.queuedIgnoringBound, s.queued), nil, nil
	s.reported = s.held
	if s.held == 0 && len(s.unanswered) == 0 {
		delete(h.servers, server)
	}
	return message, true
}
