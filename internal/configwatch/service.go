package configwatch

import (
	"context"

	"storj.io/drpc"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/rpc/configpb"
)

// Register adds the RPCs with which the routers of the failure domain give each
// other their configuration.
func (w *Watcher) Register(mux drpc.Mux) error {
	return configpb.DRPCRegisterConfig(mux, &service{watcher: w})
}

type service struct {
	watcher *Watcher
}

// Watch implements the RPC service: a router answers once with what it applies.
func (s *service) Watch(request *configpb.WatchRequest, stream configpb.DRPCConfig_WatchStream) error {
	if !request.GetOnce() {
		return api.Errorf(api.CodeNoQuorum, "a router is no control replica")
	}
	current := s.watcher.Catalog()
	if request.GetPeek() || current.Revision() <= request.GetRevision() {
		return configpb.SendParts(stream, current.Revision(), false, nil)
	}
	return configpb.SendEncoded(stream, current.Revision(), true, current.Resources())
}

// Report implements the RPC service: routers take no reports.
func (s *service) Report(context.Context, *configpb.ReportRequest) (*configpb.ReportResponse, error) {
	return nil, api.Errorf(api.CodeNoQuorum, "a router is no control replica")
}

// Share implements the RPC service: routers take no reports.
func (s *service) Share(context.Context, *configpb.ShareRequest) (*configpb.ShareResponse, error) {
	return nil, api.Errorf(api.CodeNoQuorum, "a router is no control replica")
}

// History implements the RPC service: routers keep no audit trail.
func (s *service) History(*configpb.HistoryRequest, configpb.DRPCConfig_HistoryStream) error {
	return api.Errorf(api.CodeNoQuorum, "a router is no control replica")
}
