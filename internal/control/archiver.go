package control

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"storj.io/drpc"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/rpc"
	"peridotwinch.example/peridotwinch/internal/rpc/configpb"
	"peridotwinch.example/peridotwinch/internal/settings"
)

const (
	// heartbeatsPerArchive is the number of heartbeats between two looks for
	// blocks that the archive lacks.
	heartbeatsPerArchive = 10
	// fetchTimeout bounds the transfer of a block from another replica.
	fetchTimeout = 10 * time.Second
	// historyPartBytes is the size of a part of a block. A connection keeps a
	// buffer of its largest message.
	historyPartBytes = 32 << 10
	// maxBlockBytes bounds the block that a replica takes from another.
	maxBlockBytes = 256 << 20
)

// archiver moves the audit trail from the store to the archive, and fetches the
// blocks that came before this replica joined from the other replicas.
type archiver struct {
	log     zerolog.Logger
	store   *Store
	archive *archive
	every   time.Duration
	peers   []*rpc.Client
	// next is the first block that the archive may lack.
	next uint64
}

func newArchiver(s *settings.Settings, store *Store, a *archive, log zerolog.Logger) *archiver {
	out := &archiver{log: log, store: store, archive: a, every: heartbeatsPerArchive * s.Timeouts.Heartbeat()}
	for _, peer := range s.PeersWithRole(settings.RoleControl) {
		if peer.Instance != s.Instance {
			out.peers = append(out.peers, rpc.NewClient(peer.Address, rpc.PurposeConfig))
		}
	}
	return out
}

func (a *archiver) run(ctx context.Context) error {
	ticker := time.NewTicker(a.every)
	defer ticker.Stop()
	for {
		a.fill(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// fill completes the archive as far as that is possible now.
func (a *archiver) fill(ctx context.Context) {
	end := blockOf(a.store.Revision())
	complete := true
	for block := a.next; block < end && ctx.Err() == nil; block++ {
		if err := a.add(ctx, block); err != nil {
			complete = false
			a.log.Warn().Err(err).Uint64("block", block).Msg("audit trail not archived")
		}
		if complete {
			a.next = block + 1
		}
	}
}

// add puts a complete block into the archive, from the store or another replica.
func (a *archiver) add(ctx context.Context, block uint64) error {
	if a.archive.has(block) {
		return nil
	}
	changes, _, err := a.store.changesAbove(block * archiveBlock)
	if err == nil {
		return a.archive.save(block, changes[:archiveBlock])
	}
	for _, peer := range a.peers {
		if changes, err = a.fetch(ctx, peer, block); err == nil {
			return a.archive.save(block, changes)
		}
	}
	return err
}

func (a *archiver) fetch(ctx context.Context, peer *rpc.Client, block uint64) ([]*keptChange, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var raw []byte
	err := peer.Do(ctx, func(ctx context.Context, conn drpc.Conn) error {
		stream, err := configpb.NewDRPCConfigClient(conn).History(ctx, &configpb.HistoryRequest{Block: block})
		if err != nil {
			return errors.Wrap(err, "ask for a block of the audit trail")
		}
		raw, err = receiveBlock(stream)
		return err
	})
	if err != nil {
		return nil, err
	}
	return decodeBlock(raw)
}

func receiveBlock(stream configpb.DRPCConfig_HistoryClient) ([]byte, error) {
	var raw []byte
	for {
		part, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return raw, nil
		}
		if err != nil {
			return nil, errors.Wrap(err, "receive a block of the audit trail")
		}
		raw = append(raw, part.GetData()...)
		if len(raw) > maxBlockBytes {
			return nil, errors.New("a block of the audit trail is too large")
		}
	}
}

// History implements the RPC service: it streams a block of the audit trail.
func (c *Control) History(request *configpb.HistoryRequest, stream configpb.DRPCConfig_HistoryStream) error {
	raw, err := c.archive.read(request.GetBlock())
	if err != nil {
		return err
	}
	for len(raw) > 0 {
		n := min(len(raw), historyPartBytes)
		if err := stream.Send(&configpb.HistoryPart{Data: raw[:n]}); err != nil {
			return errors.Wrap(err, "send a block of the audit trail")
		}
		raw = raw[n:]
	}
	return nil
}

// changesAbove returns the next changes above a revision, from the store or else
// a block of the archive, and the revision up to which they are all.
func (c *Control) changesAbove(revision uint64) (changes []*api.Change, upTo uint64, err error) {
	kept, upTo, err := c.store.changesAbove(revision)
	if err == nil {
		return decodeChanges(kept), upTo, nil
	}
	block := blockOf(revision)
	kept, err = c.archive.load(block)
	if err != nil {
		return nil, 0, err
	}
	return decodeChanges(above(kept, revision)), (block + 1) * archiveBlock, nil
}

// oldestRevision returns the revision above which the trail that is kept here
// begins.
func (c *Control) oldestRevision() uint64 {
	kept := c.store.oldestRevision()
	if block, found := c.archive.first(0, blockOf(kept)+1); found {
		return min(block*archiveBlock, kept)
	}
	return kept
}
