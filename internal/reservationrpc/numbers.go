package reservationrpc

import (
	"sync"

	"peridotwinch.example/peridotwinch/internal/reservation"
	"peridotwinch.example/peridotwinch/internal/rpc/reservepb"
)

// serverNumbers assigns each server address a small number within one stream, to save
// bytes. It is safe for concurrent use.
type serverNumbers struct {
	mu        sync.Mutex
	byAddress map[string]uint32
	addresses []string
}

func newServerNumbers() *serverNumbers { return &serverNumbers{byAddress: make(map[string]uint32)} }

// encode encodes a message. The first message about a server carries its address.
func (n *serverNumbers) encode(message reservation.Message) *reservepb.Place {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := &reservepb.Place{Have: uint32(message.Held), Want: uint32(message.Requested), Firm: uint32(message.IgnoringLoadBound)}
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

// server returns the address that has a number.
func (n *serverNumbers) server(number uint32) (string, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if int(number) >= len(n.addresses) {
		return "", false
	}
	return n.addresses[number], true
}
