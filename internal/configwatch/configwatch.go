// Package configwatch keeps a router's catalog up to date from a control replica.
package configwatch

import (
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"storj.io/drpc"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/catalog"
	"peridotwinch.example/peridotwinch/internal/rpc"
	"peridotwinch.example/peridotwinch/internal/rpc/configpb"
	"peridotwinch.example/peridotwinch/internal/settings"
)

// reconnectDelay is the pause before the next replica is tried.
const reconnectDelay = 200 * time.Millisecond

// missedHeartbeats is how many heartbeats may be missing before a watch counts as dead.
const missedHeartbeats = 4

// Watcher follows the configuration. It is safe for concurrent use.
type Watcher struct {
	log       zerolog.Logger
	instance  string
	domain    string
	heartbeat time.Duration
	replicas  []*rpc.Client
	current   atomic.Pointer[catalog.Catalog]
}

// New returns a watcher with an empty catalog.
func New(s *settings.Settings, log zerolog.Logger) *Watcher {
	w := &Watcher{log: log, instance: s.Instance, domain: s.FailureDomain, heartbeat: s.Timeouts.Heartbeat()}
	w.current.Store(catalog.Empty())
	for _, peer := range s.PeersWithRole(settings.RoleControl) {
		w.replicas = append(w.replicas, rpc.NewClient(peer.Address, rpc.PurposeConfig))
	}
	return w
}

// Catalog returns the newest catalog.
func (w *Watcher) Catalog() *catalog.Catalog { return w.current.Load() }

// Ready reports an error until the router has a configuration.
func (w *Watcher) Ready() error {
	if w.Catalog().Revision() == 0 {
		return api.Errorf(api.CodeNotConfigured, "no configuration yet")
	}
	return nil
}

// Run watches until ctx ends, one replica after the other.
func (w *Watcher) Run(ctx context.Context) error {
	for i := 0; ctx.Err() == nil; i++ {
		w.watchOnce(ctx, w.replicas[i%len(w.replicas)])
		select {
		case <-ctx.Done():
		case <-time.After(reconnectDelay):
		}
	}
	return nil
}

func (w *Watcher) watchOnce(ctx context.Context, replica *rpc.Client) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go w.reportAll(ctx, replica)
	err := replica.Do(ctx, func(ctx context.Context, conn drpc.Conn) error {
		return w.follow(ctx, cancel, conn)
	})
	if err != nil {
		w.log.Warn().Err(err).Str("replica", replica.Address()).Msg("configuration watch ended")
	}
}

func (w *Watcher) follow(ctx context.Context, cancel context.CancelFunc, conn drpc.Conn) error {
	request := &configpb.WatchRequest{Instance: w.instance, FailureDomain: w.domain, Revision: w.Catalog().Revision()}
	stream, err := configpb.NewDRPCConfigClient(conn).Watch(ctx, request)
	if err != nil {
		return errors.Wrap(err, "open a watch")
	}
	watchdog := time.AfterFunc(missedHeartbeats*w.heartbeat, cancel)
	defer watchdog.Stop()
	for {
		event, err := stream.Recv()
		if err != nil {
			return errors.Wrap(err, "receive a watch event")
		}
		watchdog.Reset(missedHeartbeats * w.heartbeat)
		if err := w.apply(event); err != nil {
			return err
		}
	}
}

func (w *Watcher) apply(event *configpb.WatchEvent) error {
	changes := make([]*api.Resource, 0, len(event.GetResources()))
	for _, raw := range event.GetResources() {
		resource := &api.Resource{}
		if err := json.Unmarshal(raw, resource); err != nil {
			return errors.Wrap(err, "decode a resource")
		}
		changes = append(changes, resource)
	}
	current := w.Catalog()
	next := current.Apply(event.GetRevision(), event.GetSnapshot(), changes)
	if next != current {
		w.current.Store(next)
		w.log.Info().Str("revision", fmt.Sprint(next.Revision())).Msg("configuration applied")
	}
	return nil
}

func (w *Watcher) reportAll(ctx context.Context, replica *rpc.Client) {
	ticker := time.NewTicker(w.heartbeat)
	defer ticker.Stop()
	for {
		w.report(ctx, replica)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (w *Watcher) report(ctx context.Context, replica *rpc.Client) {
	ctx, cancel := context.WithTimeout(ctx, rpc.DialTimeout)
	defer cancel()
	request := &configpb.ReportRequest{Instance: w.instance, FailureDomain: w.domain, Revision: w.Catalog().Revision()}
	_ = replica.Do(ctx, func(ctx context.Context, conn drpc.Conn) error {
		_, err := configpb.NewDRPCConfigClient(conn).Report(ctx, request)
		return err
	})
}
