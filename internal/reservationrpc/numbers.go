package reservationrpc

import (
	"sync"

	"peridotwinch.example/peridotwinch/internal/reservation"
	"peridotwinch.example/peridotwinch/internal/rpc/reservepb"
)

// numbers replaces servers' addresses by small numbers within one stream. It is
// safe for concurrent use.
type numbers struct {
	mu        sync.Mutex
	byAddress map[string]uint32
	addresses []string
}

func newNumbers() *numbers { return &numbers{byAddress: make(map[string]uint32)} }

// place encodes a message, with the address where it is the server's first one.
func (n *numbers) place(message reservation.Message) *reservepb.Place {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := &reservepb.Place{Have: uint32(message.Held), Want: uint32(message.Requested), Firm: uint32(message.IgnoringBound)}
	number, known := n.byAddress[message.Server]
	if !known {
		number = uint32(len(n.addresses))
		n.byAddress[message.Server] = number
		n.addresses = append(n.addresses, message.Server)
		out.Address = message.Server
	}
	out.Number = number
	return out
}

// server returns the server of a number.
func (n *numbers) server(number uint32) (string, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if int(number) >= len(n.addresses) {
		return "", false
	}
	return n.addresses[number], true
}
