package configwatch

import (
	"context"

	"storj.io/drpc"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/rpc/configpb"
)

// Register registers the RPCs through which the routers of a failure domain fetch
// the configuration from each other.
func (w *Watcher) Register(mux drpc.Mux) error {
	return configpb.DRPCRegisterConfig(mux, &service{watcher: w})
}

// service implements the Config service for a router.
type service struct {
	watcher *Watcher
}

// Watch implements the Watch RPC of the Config service. A router only serves one-time
// watches, with the configuration that it applies.
func (s *service) Watch(request *configpb.WatchRequest, stream configpb.DRPCConfig_WatchStream) error {
	if !request.GetOnce() {
		return api.Errorf(api.CodeNoQuorum, "this instance is a router, not a control replica")
	}
	current := s.watcher.Catalog()
	if request.GetPeek() || current.Revision() <= request.GetRevision() {
		return configpb.SendParts(stream, current.Revision(), false, nil)
	}
	return configpb.SendEncoded(stream, current.Revision(), true, current.Resources())
}

// Report implements the Report RPC of the Config service. Routers accept no reports.
func (s *service) Report(context.Context, *configpb.ReportRequest) (*configpb.ReportResponse, error) {
	return nil, api.Errorf(api.CodeNoQuorum, "this instance is a router, not a control replica")
}

// Share implements the Share RPC of the Config service. Routers accept no reports.
func (s *service) Share(context.Context, *configpb.ShareRequest) (*configpb.ShareResponse, error) {
	return nil, api.Errorf(api.CodeNoQuorum, "this instance is a router, not a control replica")
}

// History implements the History RPC of the Config service. Routers keep no audit trail.
func (s *service) History(*configpb.HistoryRequest, configpb.DRPCConfig_HistoryStream) error {
	return api.Errorf(api.CodeNoQuorum, "this instance is a router, not a control replica")
}
