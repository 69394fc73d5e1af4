package reservationrpc

import (
	"context"

	"github.com/pkg/errors"

	"peridotwinch.example/peridotwinch/internal/reservation"
	"peridotwinch.example/peridotwinch/internal/rpc/reservepb"
)

// maxServers bounds the number of servers that one stream may name.
const maxServers = 1 << 16

// inboundStream is a stream on which another router holds reservations that this
// router has granted.
type inboundStream struct {
	instance string
	// cancel closes the stream, which drops its reservations.
	cancel context.CancelFunc
	// addresses has the servers' addresses by their numbers on this stream.
	addresses map[uint32]string
}

// Hold implements reservepb.DRPCReserveServer. It returns an error if the sender is
// not a router of this failure domain, or if a message is invalid.
func (s *Service) Hold(stream reservepb.DRPCReserve_HoldStream) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	if s.links[first.GetInstance()] == nil {
		return errors.Errorf("reservationrpc: router %q is not in this failure domain", first.GetInstance())
	}
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	in := &inboundStream{instance: first.GetInstance(), cancel: cancel, addresses: make(map[uint32]string)}
	s.registerStream(in)
	defer s.unregisterStream(in)
	stop := context.AfterFunc(ctx, func() { _ = stream.Close() })
	defer stop()
	for {
		request, err := stream.Recv()
		if err != nil || ctx.Err() != nil {
			return err
		}
		if err := s.handleBatch(stream, in, request); err != nil {
			return err
		}
	}
}

// registerStream makes a stream the current one of its router and closes the previous one,
// with its reservations.
func (s *Service) registerStream(in *inboundStream) {
	mu := &s.links[in.instance].inboundMu
	mu.Lock()
	defer mu.Unlock()
	s.mu.Lock()
	previous := s.inbound[in.instance]
	s.inbound[in.instance] = in
	s.mu.Unlock()
	if previous != nil {
		previous.cancel()
	}
	s.granter.RouterLost(in.instance)
}

// unregisterStream drops the reservations of a stream, unless a newer stream has replaced it.
func (s *Service) unregisterStream(in *inboundStream) {
	mu := &s.links[in.instance].inboundMu
	mu.Lock()
	defer mu.Unlock()
	if !s.isCurrent(in) {
		return
	}
	s.mu.Lock()
	delete(s.inbound, in.instance)
	s.mu.Unlock()
	s.granter.RouterLost(in.instance)
}

func (s *Service) isCurrent(in *inboundStream) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inbound[in.instance] == in
}

// handleBatch handles the messages of a batch and sends the answers to those that
// request reservations.
func (s *Service) handleBatch(stream reservepb.DRPCReserve_HoldStream, in *inboundStream, request *reservepb.HoldRequest) error {
	response := &reservepb.HoldResponse{}
	for _, entry := range request.GetPlaces() {
		answer, err := s.handle(in, entry)
		if err != nil {
			return err
		}
		if entry.GetWant() > 0 {
			response.Answers = append(response.Answers, answer)
		}
	}
	if len(response.GetAnswers()) == 0 {
		return nil
	}
	return stream.Send(response)
}

// handle handles one message of a stream. It returns an error if the stream has
// been replaced, or if the message's server is unknown.
func (s *Service) handle(in *inboundStream, entry *reservepb.Place) (*reservepb.Answer, error) {
	number := entry.GetNumber()
	if entry.GetAddress() != "" && len(in.addresses) < maxServers {
		in.addresses[number] = entry.GetAddress()
	}
	address, known := in.addresses[number]
	if !known {
		return nil, errors.Errorf("reservationrpc: no address sent for server number %d", number)
	}
	message := reservation.Message{
		Server: address, Held: int(entry.GetHave()), Requested: int(entry.GetWant()), IgnoringLoadBound: int(entry.GetFirm()),
	}
	mu := &s.links[in.instance].inboundMu
	mu.Lock()
	defer mu.Unlock()
	if !s.isCurrent(in) {
		return nil, errors.New("reservationrpc: a newer stream has replaced this one")
	}
	granted, peerInFlight, owned := s.granter.HandleReservation(in.instance, message)
	return &reservepb.Answer{
		Number: number, Granted: uint32(granted), Others: uint32(max(peerInFlight, 0)), Unowned: !owned,
	}, nil
}
