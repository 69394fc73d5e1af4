// Package status reports the status of a daemon over RPC and queries that of other daemons.
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

// queryTimeout bounds the query of one daemon.
const queryTimeout = 2 * time.Second

// Reporter is a component that contributes to a daemon's status.
type Reporter interface {
	// AddStatus sets the component's fields of the status and adds its degraded conditions.
	AddStatus(status *api.DaemonStatus)
}

// Service serves the status of this daemon.
type Service struct {
	reporters []Reporter
}

// NewService returns a service that composes the status from all reporters.
func NewService(reporters ...Reporter) *Service { return &Service{reporters: reporters} }

// Register adds the service's RPC to a server.
func (s *Service) Register(mux drpc.Mux) error { return statuspb.DRPCRegisterStatus(mux, s) }

// Get implements statuspb.DRPCStatusServer.
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

// QueryAll queries all peers concurrently and returns their status in the order of peers. The
// status of a peer that does not answer within 2 s is degraded with CodeUnreachable.
func QueryAll(ctx context.Context, peers []settings.Peer) []*api.DaemonStatus {
	out := make([]*api.DaemonStatus, len(peers))
	var queries sync.WaitGroup
	for i, peer := range peers {
		queries.Go(func() { out[i] = query(ctx, peer) })
	}
	queries.Wait()
	return out
}

func query(ctx context.Context, peer settings.Peer) *api.DaemonStatus {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
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
