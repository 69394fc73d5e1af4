package reservationrpc

import (
	"context"

	"github.com/pkg/errors"

	"peridotwinch.example/peridotwinch/internal/reservation"
	"peridotwinch.example/peridotwinch/internal/rpc/reservepb"
)

// maxServers bounds the servers that one stream may name.
const maxServers = 1 << 16

// incoming is a stream on which another router holds places here.
type incoming struct {
	instance string
	// end closes the stream; the places on it are dropped then.
	end context.CancelFunc
	// addresses are the servers by their numbers on this stream.
	addresses map[uint32]string
}

// Hold implements the RPC service.
func (s *Service) Hold(stream reservepb.DRPCReserve_HoldStream) error {
	hello, err := stream.Recv()
	if err != nil {
		return err
	}
	if s.links[hello.GetInstance()] == nil {
		return errors.Errorf("places: no router %q in this failure domain", hello.GetInstance())
	}
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	in := &incoming{instance: hello.GetInstance(), end: cancel, addresses: make(map[uint32]string)}
	s.opened(in)
	defer s.closed(in)
	stop := context.AfterFunc(ctx, func() { _ = stream.Close() })
	defer stop()
	for {
		request, err := stream.Recv()
		if err != nil || ctx.Err() != nil {
			return err
		}
		if err := s.answer(stream, in, request); err != nil {
			return err
		}
	}
}

// opened makes a stream the one on which its router holds places.
func (s *Service) opened(in *incoming) {
	deciding := &s.links[in.instance].deciding
	deciding.Lock()
	defer deciding.Unlock()
	s.mu.Lock()
	former := s.incoming[in.instance]
	s.incoming[in.instance] = in
	s.mu.Unlock()
	if former != nil {
		former.end()
	}
	s.granter.RouterLost(in.instance)
}

// closed drops the places of a stream, unless a newer one has replaced it.
func (s *Service) closed(in *incoming) {
	deciding := &s.links[in.instance].deciding
	deciding.Lock()
	defer deciding.Unlock()
	if !s.isCurrent(in) {
		return
	}
	s.mu.Lock()
	delete(s.incoming, in.instance)
	s.mu.Unlock()
	s.granter.RouterLost(in.instance)
}

func (s *Service) isCurrent(in *incoming) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.incoming[in.instance] == in
}

// answer takes a batch and answers its questions.
func (s *Service) answer(stream reservepb.DRPCReserve_HoldStream, in *incoming, request *reservepb.HoldRequest) error {
	response := &reservepb.HoldResponse{}
	for _, place := range request.GetPlaces() {
		answer, err := s.decide(in, place)
		if err != nil {
			return err
		}
		if place.GetWant() > 0 {
			response.Answers = append(response.Answers, answer)
		}
	}
	if len(response.GetAnswers()) == 0 {
		return nil
	}
	return stream.Send(response)
}

func (s *Service) decide(in *incoming, place *reservepb.Place) (*reservepb.Answer, error) {
	number := place.GetNumber()
	if place.GetAddress() != "" && len(in.addresses) < maxServers {
		in.addresses[number] = place.GetAddress()
	}
	address, known := in.addresses[number]
	if !known {
		return nil, errors.Errorf("places: number %d has no address", number)
	}
	message := reservation.Message{
		Server: address, Held: int(place.GetHave()), Requested: int(place.GetWant()), IgnoringBound: int(place.GetFirm()),
	}
	deciding := &s.links[in.instance].deciding
	deciding.Lock()
	defer deciding.Unlock()
	if !s.isCurrent(in) {
		return nil, errors.New("places: a newer stream has replaced this one")
	}
	granted, others, owned := s.granter.HandleReservation(in.instance, message)
	return &reservepb.Answer{
		Number: number, Granted: uint32(granted), Others: uint32(max(others, 0)), Unowned: !owned,
	}, nil
}
