package configwatch

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"github.com/pkg/errors"
	"storj.io/drpc"

	"peridotwinch.example/peridotwinch/internal/rpc"
	"peridotwinch.example/peridotwinch/internal/rpc/configpb"
)

// sourceRevision is a source of the configuration with the revision that it
// reports.
type sourceRevision struct {
	source   *rpc.Client
	revision uint64
}

// fetchHighest applies the highest revision that the sources have. It requests only
// the revision from all sources concurrently, and then the resources from one
// source with the highest revision: if each source sent the whole configuration, a
// restarted router would receive many times its size. If that source fails, it
// continues with the next one.
func (w *Watcher) fetchHighest(ctx context.Context, sources []*rpc.Client) {
	candidates := w.peekAll(ctx, sources)
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	for _, candidate := range candidates {
		if candidate.revision <= w.Catalog().Revision() {
			return
		}
		w.fetch(ctx, candidate.source)
	}
}

// peekAll returns all sources with their revisions, in descending order of
// revision. Sources of the same revision keep the given order. A source that does
// not answer has revision zero.
func (w *Watcher) peekAll(ctx context.Context, sources []*rpc.Client) []sourceRevision {
	ctx, cancel := context.WithTimeout(ctx, peekTimeout)
	defer cancel()
	candidates := make([]sourceRevision, len(sources))
	var wg sync.WaitGroup
	for i, source := range sources {
		wg.Go(func() { candidates[i] = sourceRevision{source: source, revision: w.peek(ctx, source)} })
	}
	wg.Wait()
	slices.SortStableFunc(candidates, func(a, b sourceRevision) int { return cmp.Compare(b.revision, a.revision) })
	return candidates
}

// peek returns the revision of a source, or zero if it does not answer.
func (w *Watcher) peek(ctx context.Context, source *rpc.Client) uint64 {
	var revision uint64
	_ = w.watchOnce(ctx, source, true, func(stream configpb.DRPCConfig_WatchClient) error {
		event, err := stream.Recv()
		revision = event.GetRevision()
		return errors.Wrap(err, "receive a revision")
	})
	return revision
}

// fetch applies the changes that a source has above this router's revision. A
// source that fails leaves the catalog as it is.
func (w *Watcher) fetch(ctx context.Context, source *rpc.Client) {
	_ = w.watchOnce(ctx, source, false, func(stream configpb.DRPCConfig_WatchClient) error {
		return w.receive(stream, func() {})
	})
}

// watchOnce opens a watch that ends after the source's current state, and passes
// the stream to handle. With peek the source sends only its revision.
func (w *Watcher) watchOnce(ctx context.Context, source *rpc.Client, peek bool, handle func(configpb.DRPCConfig_WatchClient) error) error {
	return source.Do(ctx, func(ctx context.Context, conn drpc.Conn) error {
		request := w.request(true)
		request.Peek = peek
		stream, err := configpb.NewDRPCConfigClient(conn).Watch(ctx, request)
		if err != nil {
			return errors.Wrap(err, "open a one-time watch")
		}
		defer func() { _ = stream.Close() }()
		return handle(stream)
	})
}
