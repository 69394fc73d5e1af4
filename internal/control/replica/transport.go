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
	// sendTimeout bounds one batch of messages. A connection that does not
	// answer within it is closed and replaced.
	sendTimeout = time.Second
	// installTimeout bounds the transfer of a snapshot.
	installTimeout = 30 * time.Second
	// queuedMessages bounds what waits for a replica; the protocol repeats
	// messages that are dropped.
	queuedMessages = 1024
	// batchBytes bounds the entries of a batch, below drpc's message limit.
	batchBytes = 1 << 20
	// partBytes is the size of a part of a snapshot.
	partBytes = 512 << 10
)

// transport sends messages to the other replicas.
type transport struct {
	log      zerolog.Logger
	instance string
	// answered takes the answers to heartbeats.
	answered func(context.Context, *consensuspb.Message)
	// readSnapshot returns the newest durable snapshot.
	readSnapshot func() (*consensuspb.Snapshot, error)

	// joining says that replicas are named by their addresses and come and go.
	joining bool

	mu        sync.Mutex
	ctx       context.Context
	peers     map[string]*peer
	group     string
	instances map[consensus.ReplicaID]string
}

// peer is another instance with the control role.
type peer struct {
	settings.Peer
	client   *rpc.Client
	queue    chan consensus.Message
	installs chan consensus.Message
}

func newTransport(s *settings.Settings, log zerolog.Logger) *transport {
	t := &transport{
		log: log, instance: s.ReplicaName(), joining: s.Join != nil,
		peers: make(map[string]*peer), instances: make(map[consensus.ReplicaID]string),
	}
	for _, p := range s.PeersWithRole(settings.RoleControl) {
		t.addPeer(p)
	}
	for _, address := range s.ControlAddresses() {
		t.addPeer(settings.Peer{Instance: address, Address: address})
	}
	return t
}

// addPeer adds an instance that is not known yet; mu is held once run was called.
func (t *transport) addPeer(p settings.Peer) {
	if p.Instance == t.instance || t.peers[p.Instance] != nil {
		return
	}
	added := &peer{
		Peer: p, client: rpc.NewClient(p.Address, rpc.PurposeConsensus),
		queue:    make(chan consensus.Message, queuedMessages),
		installs: make(chan consensus.Message, 1),
	}
	t.peers[p.Instance] = added
	if t.ctx != nil {
		t.startPeer(added)
	}
}

func (t *transport) startPeer(p *peer) {
	go t.sendAll(t.ctx, p)
	go t.installAll(t.ctx, p)
}

// run sends until ctx ends.
func (t *transport) run(ctx context.Context) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ctx = ctx
	for _, p := range t.peers {
		t.startPeer(p)
	}
}

// allPeers returns all other instances that are known.
func (t *transport) allPeers() []*peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Collect(maps.Values(t.peers))
}

// learn notes which instance a replica runs on.
func (t *transport) learn(id consensus.ReplicaID, instance string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.instances[id] = instance
	if t.joining {
		t.addPeer(settings.Peer{Instance: instance, Address: instance})
	}
}

func (t *transport) learnMembers(m consensus.Membership) {
	for _, member := range m.Members {
		t.learn(member.ID, member.Instance)
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

// instanceOf returns the instance that a replica runs on, as far as it is known.
func (t *transport) instanceOf(id consensus.ReplicaID) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.instances[id]
}

// peerOf returns the peer that runs a replica, or nil.
func (t *transport) peerOf(id consensus.ReplicaID) *peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.peers[t.instances[id]]
}

// send queues messages; what does not fit is dropped.
func (t *transport) send(messages []consensus.Message) {
	for _, m := range messages {
		p := t.peerOf(m.To)
		if p == nil {
			continue
		}
		queue := p.queue
		if m.Type == consensus.MessageSnapshot {
			queue = p.installs
		}
		select {
		case queue <- m:
		default:
		}
	}
}

func (t *transport) sendAll(ctx context.Context, p *peer) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-p.queue:
			batch := t.collect(p, m)
			if err := t.sendBatch(ctx, p, batch); err != nil {
				t.log.Debug().Err(err).Str("peer", p.Instance).Msg("messages not delivered")
				p.dropQueued()
			}
		}
	}
}

// collect takes what waits behind the first message.
func (t *transport) collect(p *peer, first consensus.Message) *consensuspb.Envelope {
	envelope := &consensuspb.Envelope{Group: t.currentGroup(), Instance: t.instance, TakesAnswers: true}
	size := 0
	for m := first; ; {
		envelope.Messages = append(envelope.Messages, toMessage(m))
		for _, entry := range m.Entries {
			size += len(entry.Data)
		}
		if size >= batchBytes {
			return envelope
		}
		select {
		case m = <-p.queue:
		default:
			return envelope
		}
	}
}

// dropQueued forgets messages that are out of date after a failed batch.
func (p *peer) dropQueued() {
	for {
		select {
		case <-p.queue:
		default:
			return
		}
	}
}

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
		t.answered(ctx, response.GetMessage())
	}
	return err
}

func (t *transport) installAll(ctx context.Context, p *peer) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-p.installs:
			if err := t.install(ctx, p, m); err != nil {
				t.log.Warn().Err(err).Str("peer", p.Instance).Msg("snapshot not delivered")
			}
		}
	}
}

// install sends a message with the newest snapshot, which may have come after
// the one that the message names, in parts.
func (t *transport) install(ctx context.Context, p *peer, m consensus.Message) error {
	ctx, cancel := context.WithTimeout(ctx, installTimeout)
	defer cancel()
	snapshot, err := t.readSnapshot()
	if err != nil {
		return err
	}
	if snapshot.GetIndex() < m.Snapshot.Index {
		return errors.Errorf("the snapshot at %d is not on disk", m.Snapshot.Index)
	}
	first := toMessage(m)
	first.Snapshot = snapshot
	data := snapshot.GetData()
	snapshot.Data = nil
	return p.client.Do(ctx, func(ctx context.Context, conn drpc.Conn) error {
		stream, err := consensuspb.NewDRPCConsensusClient(conn).Install(ctx)
		if err != nil {
			return errors.Wrap(err, "open a stream")
		}
		part := &consensuspb.SnapshotPart{Group: t.currentGroup(), Instance: t.instance, Message: first}
		for len(data) > 0 {
			n := min(len(data), partBytes)
			part.Data, data = data[:n], data[n:]
			if err := stream.Send(part); err != nil {
				return errors.Wrap(err, "send a part")
			}
			part = &consensuspb.SnapshotPart{}
		}
		_, err = stream.CloseAndRecv()
		return errors.Wrap(err, "finish a snapshot")
	})
}
