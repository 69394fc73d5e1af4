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

// sourceRevision is a source with the revision that it says it has.
type sourceRevision struct {
	source   *rpc.Client
	revision uint64
}

// askAll takes the highest revision that the sources have. It asks all at once
// for their revisions only, and then one of those with the highest for the
// resources: the whole configuration from each of them would cost a restarted
// router many times its size.
func (w *Watcher) askAll(ctx context.Context, sources []*rpc.Client) {
	found := w.peekAll(ctx, sources)
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	for _, f := range found {
		if f.revision <= w.Catalog().Revision() {
			return
		}
		w.fetch(ctx, f.source)
	}
}

// peekAll returns the sources that answer, the highest revision first and among
// equal ones in the order given.
func (w *Watcher) peekAll(ctx context.Context, sources []*rpc.Client) []sourceRevision {
	ctx, cancel := context.WithTimeout(ctx, peekTimeout)
	defer cancel()
	found := make([]sourceRevision, len(sources))
	var wait sync.WaitGroup
	for i, source := range sources {
		wait.Go(func() { found[i] = sourceRevision{source: source, revision: w.peek(ctx, source)} })
	}
	wait.Wait()
	slices.SortStableFunc(found, func(a, b sourceRevision) int { return cmp.Compare(b.revision, a.revision) })
	return found
}

// peek returns the revision of a source, or zero where it does not answer.
func (w *Watcher) peek(ctx context.Context, source *rpc.Client) uint64 {
	var revision uint64
	_ = w.once(ctx, source, true, func(stream configpb.DRPCConfig_WatchClient) error {
		event, err := stream.Recv()
		revision = event.GetRevision()
		return errors.Wrap(err, "receive a revision")
	})
	return revision
}

// fetch applies what a source has above this router's revision.
func (w *Watcher) fetch(ctx context.Context, source *rpc.Client) {
	_ = w.once(ctx, source, false, func(stream configpb.DRPCConfig_WatchClient) error {
		return w.receive(stream, func() {})
	})
}

func (w *Watcher) once(ctx context.Context, source *rpc.Client, peek bool, receive func(configpb.DRPCConfig_WatchClient) error) error {
	return source.Do(ctx, func(ctx context.Context, conn drpc.Conn) error {
		request := w.request(true)
		request.Peek = peek
		stream, err := configpb.NewDRPCConfigClient(conn).Watch(ctx, request)
		if err != nil {
			return errors.Wrap(err, "ask a source")
		}
		defer func() { _ = stream.Close() }()
		return receive(stream)
	})
}
