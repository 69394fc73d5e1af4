// Package status answers how a daemon is, and asks other daemons.
package status

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/rpc"
	"peridotwinch.example/peridotwinch/internal/rpc/statuspb"
	"peridotwinch.example/peridotwinch/internal/settings"
)

// askTimeout bounds the question to one daemon.
const askTimeout = 2 * time.Second

// Reporter adds its part to a daemon's status.
type Reporter interface {
	AddStatus(status *api.DaemonStatus)
}

// Service answers with the status of this daemon.
type Service struct {
	reporters []Reporter
}

// NewService returns a service that asks each reporter.
func NewService(reporters ...Reporter) *Service { return &Service{reporters: reporters} }

// Register adds the service's RPC to a server.
func (s *Service) Register(mux drpc.Mux) error { return statuspb.DRPCRegisterStatus(mux, s) }

// Get implements the RPC service.
func (s *Service) Get(context.Context, *statuspb.GetRequest) (*statuspb.GetResponse, error) {
	status := &api.DaemonStatus{}
	for _, reporter := range s.reporters {
		reporter.AddStatus(status)
	}
	raw, err := json.Marshal(status)
	if err != nil {
		return nil, errors.Wrap(err, "encode the status")
	}
	return &statuspb.GetResponse{Report: raw}, nil
}

// QueryAll asks every peer at once and returns their status in the peers' order.
// A peer that does not answer is degraded with CodeUnreachable.
func QueryAll(ctx context.Context, peers []settings.Peer) []*api.DaemonStatus {
	out := make([]*api.DaemonStatus, len(peers))
	var asked sync.WaitGroup
	for i, peer := range peers {
		asked.Go(func() { out[i] = ask(ctx, peer) })
	}
	asked.Wait()
	return out
}

func ask(ctx context.Context, peer settings.Peer) *api.DaemonStatus {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	client := rpc.NewClient(peer.Address, rpc.PurposeStatus)
	defer client.Close()
	status := &api.DaemonStatus{}
	err := client.Do(ctx, func(ctx context.Context, conn drpc.Conn) error {
		response, err := statuspb.NewDRPCStatusClient(conn).Get(ctx, &statuspb.GetRequest{})
		if err != nil {
			return err
		}
		return json.Unmarshal(response.GetReport(), status)
	})
	if err != nil {
		status = &api.DaemonStatus{Instance: peer.Instance, FailureDomain: peer.FailureDomain, State: "unreachable"}
		status.Degrade(api.CodeUnreachable, peer.Address, "%v", err)
	}
	return status
}
