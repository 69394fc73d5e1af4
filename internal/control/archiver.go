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
	// archiveIntervalHeartbeats is the time between two checks for blocks that the
	// archive lacks, in heartbeat intervals.
	archiveIntervalHeartbeats = 10
	// fetchTimeout limits the transfer of a block from another replica.
	fetchTimeout = 10 * time.Second
	// historyPartBytes is the maximum size of a message with a part of a block. It is
	// small because a connection retains a buffer of the size of its largest message.
	historyPartBytes = 32 << 10
	// maxBlockBytes is the maximum size of a block received from another replica.
	maxBlockBytes = 256 << 20
)

// archiver copies the audit trail from the store to the archive. It fetches blocks that
// the store no longer retains, such as those from before this replica joined, from the
// other replicas.
type archiver struct {
	log      zerolog.Logger
	store    *Store
	archive  *archive
	interval time.Duration
	peers    []*rpc.Client
	// nextBlock is the lowest block that the archive may lack.
	nextBlock uint64
}

func newArchiver(s *settings.Settings, store *Store, auditArchive *archive, log zerolog.Logger) *archiver {
	out := &archiver{log: log, store: store, archive: auditArchive, interval: archiveIntervalHeartbeats * s.Timeouts.Heartbeat()}
	for _, peer := range s.PeersWithRole(settings.RoleControl) {
		if peer.Instance != s.Instance {
			out.peers = append(out.peers, rpc.NewClient(peer.Address, rpc.PurposeConfig))
		}
	}
	return out
}

func (a *archiver) run(ctx context.Context) error {
	ticker := time.NewTicker(a.interval)
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

// fill adds all complete blocks that the archive lacks. It logs blocks that it cannot add;
// the next call retries them.
func (a *archiver) fill(ctx context.Context) {
	end := blockOf(a.store.Revision())
	complete := true
	for block := a.nextBlock; block < end && ctx.Err() == nil; block++ {
		if err := a.add(ctx, block); err != nil {
			complete = false
			a.log.Warn().Err(err).Uint64("block", block).Msg("block of the audit trail not archived")
		}
		if complete {
			a.nextBlock = block + 1
		}
	}
}

// add writes a complete block to the archive unless the archive has it. The changes come
// from the store or, if it no longer retains them, from the first peer that has the block.
func (a *archiver) add(ctx context.Context, block uint64) error {
	if a.archive.has(block) {
		return nil
	}
	changes, _, err := a.store.changesAbove(block * archiveBlockChanges)
	if err == nil {
		return a.archive.save(block, changes[:archiveBlockChanges])
	}
	for _, peer := range a.peers {
		if changes, err = a.fetch(ctx, peer, block); err == nil {
			return a.archive.save(block, changes)
		}
	}
	return err
}

func (a *archiver) fetch(ctx context.Context, peer *rpc.Client, block uint64) ([]*encodedChange, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var raw []byte
	err := peer.Do(ctx, func(ctx context.Context, conn drpc.Conn) error {
		stream, err := configpb.NewDRPCConfigClient(conn).History(ctx, &configpb.HistoryRequest{Block: block})
		if err != nil {
			return errors.Wrap(err, "request a block of the audit trail")
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
			return nil, errors.New("a received block of the audit trail exceeds the maximum size")
		}
	}
}

// History implements the History RPC of the Config service. It streams a block of the audit
// trail from the archive; the error has CodeRevisionGone if the archive lacks the block.
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

// changesAbove returns the next changes above a revision and the revision up to which they
// are complete. They come from the store or, if it no longer retains them, from one block
// of the archive.
func (c *Control) changesAbove(revision uint64) (changes []*api.Change, upTo uint64, err error) {
	encoded, upTo, err := c.store.changesAbove(revision)
	if err == nil {
		return decodeChanges(encoded), upTo, nil
	}
	block := blockOf(revision)
	encoded, err = c.archive.load(block)
	if err != nil {
		return nil, 0, err
	}
	return decodeChanges(filterAbove(encoded, revision)), (block + 1) * archiveBlockChanges, nil
}

// oldestRevision returns the revision above which this replica has the audit trail, in the
// archive or the store.
func (c *Control) oldestRevision() uint64 {
	oldest := c.store.oldestRevision()
	if block, found := c.archive.first(0, blockOf(oldest)+1); found {
		return min(block*archiveBlockChanges, oldest)
	}
	return oldest
}
