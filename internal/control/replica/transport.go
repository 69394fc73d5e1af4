package replica

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"storj.io/drpc"

	"peridotwinch.example/peridotwinch/internal/consensus"
	"peridotwinch.example/peridotwinch/internal/rpc"
	"peridotwinch.example/peridotwinch/internal/rpc/consensuspb"
	"peridotwinch.example/peridotwinch/internal/settings"
)

const (
	// sendTimeout limits one RPC that sends a batch of messages. After a timeout the
	// connection is closed and replaced.
	sendTimeout = time.Second
	// installTimeout limits the transfer of a snapshot.
	installTimeout = 30 * time.Second
	// messageQueueLength limits the messages that are queued for a peer; Raft repeats
	// messages that are dropped.
	messageQueueLength = 1024
	// maxBatchBytes is the size of the entries from which on a batch accepts no more
	// messages; it keeps the batch below drpc's message size limit.
	maxBatchBytes = 1 << 20
	// snapshotPartBytes is the size of a part of a snapshot.
	snapshotPartBytes = 512 << 10
)

// transport sends messages to the other replicas.
type transport struct {
	log      zerolog.Logger
	instance string
	// handleHeartbeatResponse is called with each heartbeat response that is part of the
	// response of a Send RPC.
	handleHeartbeatResponse func(context.Context, *consensuspb.Message)
	// readSnapshot returns the newest durable snapshot.
	readSnapshot func() (*consensuspb.Snapshot, error)

	// usesSeeds is set if the settings contain seeds instead of a list of peers: instances
	// are named by their addresses, and peers are added at run time.
	usesSeeds bool

	mu                sync.Mutex
	ctx               context.Context
	peers             map[string]*peer
	group             string
	instanceByReplica map[consensus.ReplicaID]string
}

// peer is another instance with the control role.
type peer struct {
	settings.Peer
	client    *rpc.Client
	messages  chan consensus.Message
	snapshots chan consensus.Message
}

func newTransport(s *settings.Settings, log zerolog.Logger) *transport {
	t := &transport{
		log: log, instance: s.ReplicaName(), usesSeeds: s.Join != nil,
		peers: make(map[string]*peer), instanceByReplica: make(map[consensus.ReplicaID]string),
	}
	for _, p := range s.PeersWithRole(settings.RoleControl) {
		t.addPeer(p)
	}
	for _, address := range s.ControlAddresses() {
		t.addPeer(settings.Peer{Instance: address, Address: address})
	}
	return t
}

// addPeer adds a peer unless it exists already. The caller holds mu, except in
// newTransport.
func (t *transport) addPeer(p settings.Peer) {
	if p.Instance == t.instance || t.peers[p.Instance] != nil {
		return
	}
	added := &peer{
		Peer: p, client: rpc.NewClient(p.Address, rpc.PurposeConsensus),
		messages:  make(chan consensus.Message, messageQueueLength),
		snapshots: make(chan consensus.Message, 1),
	}
	t.peers[p.Instance] = added
	if t.ctx != nil {
		t.startPeer(added)
	}
}

func (t *transport) startPeer(p *peer) {
	go t.sendLoop(t.ctx, p)
	go t.installLoop(t.ctx, p)
}

// run starts the goroutines that send to each peer until ctx ends.
func (t *transport) run(ctx context.Context) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ctx = ctx
	for _, p := range t.peers {
		t.startPeer(p)
	}
}

// allPeers returns the peers in no particular order.
func (t *transport) allPeers() []*peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Collect(maps.Values(t.peers))
}

// recordInstance records the instance that a replica runs on. With seeds, it also adds the
// instance as a peer.
func (t *transport) recordInstance(id consensus.ReplicaID, instance string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.instanceByReplica[id] = instance
	if t.usesSeeds {
		t.addPeer(settings.Peer{Instance: instance, Address: instance})
	}
}

func (t *transport) recordMembers(m consensus.Membership) {
	for _, member := range m.Members {
		t.recordInstance(member.ID, member.Instance)
	}
}

func (t *transport) setGroup(group string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.group = group
}

func (t *transport) currentGroup() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.group
}

// instanceOf returns the instance that a replica runs on, or "" if it is unknown.
func (t *transport) instanceOf(id consensus.ReplicaID) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.instanceByReplica[id]
}

// peerOf returns the peer that runs a replica, or nil if there is none, as for this
// replica itself.
func (t *transport) peerOf(id consensus.ReplicaID) *peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.peers[t.instanceByReplica[id]]
}

// enqueue queues messages for their recipients. It drops messages if a queue is full or the
// recipient is unknown.
func (t *transport) enqueue(messages []consensus.Message) {
	for _, m := range messages {
		p := t.peerOf(m.To)
		if p == nil {
			continue
		}
		queue := p.messages
		if m.Type == consensus.MessageSnapshot {
			queue = p.snapshots
		}
		select {
		case queue <- m:
		default:
		}
	}
}

// sendLoop sends the queued messages to a peer in batches until ctx ends.
func (t *transport) sendLoop(ctx context.Context, p *peer) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-p.messages:
			batch := t.collectBatch(p, m)
			if err := t.sendBatch(ctx, p, batch); err != nil {
				t.log.Debug().Err(err).Str("peer", p.Instance).Msg("consensus messages not delivered")
				p.discardMessages()
			}
		}
	}
}

// collectBatch returns a batch with the first message and the messages queued after it.
func (t *transport) collectBatch(p *peer, first consensus.Message) *consensuspb.Envelope {
	envelope := &consensuspb.Envelope{Group: t.currentGroup(), Instance: t.instance, TakesAnswers: true}
	size := 0
	for m := first; ; {
		envelope.Messages = append(envelope.Messages, toMessage(m))
		for _, entry := range m.Entries {
			size += len(entry.Data)
		}
		if size >= maxBatchBytes {
			return envelope
		}
		select {
		case m = <-p.messages:
		default:
			return envelope
		}
	}
}

// discardMessages discards the queued messages, which are out of date after a failed batch.
func (p *peer) discardMessages() {
	for {
		select {
		case <-p.messages:
		default:
			return
		}
	}
}

// sendBatch sends a batch and handles the heartbeat response, if there is one.
func (t *transport) sendBatch(ctx context.Context, p *peer, envelope *consensuspb.Envelope) error {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	var response *consensuspb.SendResponse
	err := p.client.Do(ctx, func(ctx context.Context, conn drpc.Conn) error {
		var err error
		response, err = consensuspb.NewDRPCConsensusClient(conn).Send(ctx, envelope)
		return err
	})
	if err == nil && response.GetMessage() != nil {
		t.handleHeartbeatResponse(ctx, response.GetMessage())
	}
	return err
}

// installLoop sends snapshots to a peer until ctx ends.
func (t *transport) installLoop(ctx context.Context, p *peer) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-p.snapshots:
			if err := t.installSnapshot(ctx, p, m); err != nil {
				t.log.Warn().Err(err).Str("peer", p.Instance).Msg("control snapshot not delivered")
			}
		}
	}
}

// installSnapshot sends a snapshot message in parts, with the newest durable snapshot. That
// may be newer than the snapshot in the message.
func (t *transport) installSnapshot(ctx context.Context, p *peer, m consensus.Message) error {
	ctx, cancel := context.WithTimeout(ctx, installTimeout)
	defer cancel()
	snapshot, err := t.readSnapshot()
	if err != nil {
		return err
	}
	if snapshot.GetIndex() < m.Snapshot.Index {
		return errors.Errorf("the snapshot at index %d is not durable", m.Snapshot.Index)
	}
	first := toMessage(m)
	first.Snapshot = snapshot
	data := snapshot.GetData()
	snapshot.Data = nil
	return p.client.Do(ctx, func(ctx context.Context, conn drpc.Conn) error {
		stream, err := consensuspb.NewDRPCConsensusClient(conn).Install(ctx)
		if err != nil {
			return errors.Wrap(err, "open a snapshot stream")
		}
		part := &consensuspb.SnapshotPart{Group: t.currentGroup(), Instance: t.instance, Message: first}
		for len(data) > 0 {
			n := min(len(data), snapshotPartBytes)
			part.Data, data = data[:n], data[n:]
			if err := stream.Send(part); err != nil {
				return errors.Wrap(err, "send a part of a snapshot")
			}
			part = &consensuspb.SnapshotPart{}
		}
		_, err = stream.CloseAndRecv()
		return errors.Wrap(err, "finish the transfer of a snapshot")
	})
}
