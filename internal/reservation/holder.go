package reservation

import "slices"

// Message asks the owner of a server for places, or tells it of places given
// back. It carries the sender's absolute count, so a repeated one does no harm.
type Message struct {
	Server string
	// Held is the number of places that the sender holds.
	Held int
	// Requested is the number of further places asked for; zero asks for no answer.
	// IgnoringBound of them are refused for lack of a slot only.
	Requested     int
	IgnoringBound int
}

// Token names a request that waits for a place; its holder chooses the values.
type Token uint64

// Holder is a router's side of its places on the servers that one other router
// owns. At most one question a server is open, so that Held is exact when it
// leaves. It is not safe for concurrent use.
type Holder struct {
	places map[string]*place
}

// place is what a holder has of one server.
type place struct {
	have    int
	open    []Token
	waiting []Token
	// firm are those of waiting that ask firmly; they come first in open.
	firm []Token
	// told is the count that the owner has last heard or agreed to.
	told int
}

// NewHolder returns a holder without places.
func NewHolder() *Holder { return &Holder{places: make(map[string]*place)} }

// Request asks for a place for a request. It returns the message to send, or false
// where an open question has to be answered first. A firm question is refused
// for lack of a slot only.
func (h *Holder) Request(server string, token Token, firm bool) (Message, bool) {
	p := h.place(server)
	if firm {
		p.firm = append(p.firm, token)
	} else {
		p.waiting = append(p.waiting, token)
	}
	return h.next(server, p)
}

// AddUngranted counts a place that the owner has not granted.
func (h *Holder) AddUngranted(server string) (Message, bool) {
	p := h.place(server)
	p.have++
	return h.next(server, p)
}

// Release gives a place back.
func (h *Holder) Release(server string) (Message, bool) {
	p := h.place(server)
	p.have = max(p.have-1, 0)
	return h.next(server, p)
}

// HandleAnswer takes the answer to the open question on a server: the requests that
// got a place, in the order in which they asked, and those that did not. It
// returns the next message, if there is one.
func (h *Holder) HandleAnswer(server string, granted int) (got, refused []Token, message Message, more bool) {
	p := h.place(server)
	granted = min(max(granted, 0), len(p.open))
	got, refused = p.open[:granted], p.open[granted:]
	p.open = nil
	p.have += granted
	p.told += granted
	message, more = h.next(server, p)
	return got, refused, message, more
}

// Cancel gives up the requests that wait for an answer and returns them: the
// owner cannot be reached. Places that were granted meanwhile are void, because
// a new stream starts with Held.
func (h *Holder) Cancel() []Token {
	var out []Token
	for _, p := range h.places {
		out = slices.Concat(out, p.open, p.firm, p.waiting)
		p.open, p.firm, p.waiting = nil, nil, nil
		p.told = 0
	}
	return out
}

// Held returns a message for each server on which places are held, which a new
// stream starts with.
func (h *Holder) Held() []Message {
	var out []Message
	for server, p := range h.places {
		if p.have > 0 {
			p.told = p.have
			out = append(out, Message{Server: server, Held: p.have})
		}
	}
	return out
}

func (h *Holder) place(server string) *place {
	p := h.places[server]
	if p == nil {
		p = &place{}
		h.places[server] = p
	}
	return p
}

// next returns the message that is due on a server without an open question.
func (h *Holder) next(server string, p *place) (Message, bool) {
	asks := len(p.waiting) + len(p.firm)
	if len(p.open) > 0 || asks == 0 && p.told == p.have {
		return Message{}, false
	}
	message := Message{Server: server, Held: p.have, Requested: asks, IgnoringBound: len(p.firm)}
	p.open, p.firm, p.waiting = slices.Concat(p.firm, p.waiting), nil, nil
	p.told = p.have
	if p.have == 0 && len(p.open) == 0 {
		delete(h.places, server)
	}
	return message, true
}
