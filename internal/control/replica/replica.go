// Package replica drives the consensus core of a control replica: it persists
// before it sends, applies what is committed to a state machine, and forms or
// joins the group.
package replica

import (
	"context"
	"math/rand/v2"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/actor"
	"peridotwinch.example/peridotwinch/internal/consensus"
	"peridotwinch.example/peridotwinch/internal/durable"
	"peridotwinch.example/peridotwinch/internal/settings"
)

const (
	// ticksPerHeartbeat is how many ticks of the core fit the heartbeat setting.
	ticksPerHeartbeat = 10
	// electionTicks is one and a half heartbeats. With two, a change right after
	// the leader's loss came into force close to the 4 s that are allowed.
	electionTicks  = 3 * ticksPerHeartbeat / 2
	heartbeatTicks = 4
	// maxMessageBytes bounds the entries of one message. On the smallest known link, of
	// 3 Mbit/s, it keeps a heartbeat waiting for 0.09 s; elections come after 0.6 s.
	maxMessageBytes = 32 << 10
	// snapshotEvery is the number of applied entries between two snapshots.
	snapshotEvery = 256
	// leastLogBytes is the size of a log below which its size alone is no reason for a
	// snapshot, and logShare the size in snapshots: an empty replica is sent the log.
	leastLogBytes = 64 << 10
	logShare      = 2
	// keptBytes bounds the entries that stay in memory below a snapshot, for replicas that
	// lag a little; keptEntries bounds their number.
	keptBytes   = 64 << 10
	keptEntries = 256
	// queuedEvents bounds the events that wait for the loop.
	queuedEvents = 1024
	// fullDiskDelay is the pause before a full disk is tried again.
	fullDiskDelay = 100 * time.Millisecond
	// retryDelay is the pause before a proposal or read is tried again.
	retryDelay = 20 * time.Millisecond
)

// StateMachine is what committed commands are applied to. Equal commands in
// equal order give equal states on all replicas.
type StateMachine interface {
	// Apply applies a command and returns its outcome.
	Apply(command []byte) []byte
	// Snapshot returns the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the whole state.
	Restore(snapshot []byte) error
}

// Replica is a control replica. It is safe for concurrent use.
type Replica struct {
	log       zerolog.Logger
	settings  *settings.Settings
	machine   StateMachine
	disk      *disk
	transport *transport
	events    chan func()
	started   chan struct{}
	status    atomic.Pointer[Status]

	identityMu sync.Mutex
	identity   identity

	// The fields below belong to the loop.
	core      *consensus.Replica
	applied   uint64
	proposals map[uint64]*proposal
	reads     map[uint64]chan<- uint64
	lastRead  uint64
	answers   []heartbeatAnswer
	// silentSince is when the leader heard a member last, for those that are silent.
	silentSince map[consensus.ReplicaID]time.Time
}

// Status describes a replica as of its last event.
type Status struct {
	consensus.Status
	Group         string
	Applied       uint64
	SnapshotIndex uint64
	LogBytes      int64
	SnapshotBytes int64
	// Current says that the replica leads, or has heard its leader within an
	// election timeout.
	Current bool
	// Removed says that the group went on without this replica.
	Removed bool
	// At is when the status was taken; it is old where the disk is stuck.
	At time.Time
}

// New loads the replica's durable state, where it has one.
func New(s *settings.Settings, machine StateMachine, log zerolog.Logger) (*Replica, error) {
	r := &Replica{
		log: log, settings: s, machine: machine,
		disk:      &disk{dir: filepath.Join(s.DataDir, "control")},
		transport: newTransport(s, log),
		events:    make(chan func(), queuedEvents),
		started:   make(chan struct{}),
		proposals: make(map[uint64]*proposal),
		reads:     make(map[uint64]chan<- uint64),
	}
	r.transport.answered = r.stepAnswer
	r.transport.readSnapshot = r.disk.readSnapshot
	r.status.Store(&Status{})
	var err error
	if r.identity, err = r.disk.loadIdentity(); err != nil {
		return nil, err
	}
	if r.identity.Group == "" {
		return r, nil
	}
	return r, r.load()
}

// load starts the core from the disk.
func (r *Replica) load() error {
	begun := time.Now()
	state, err := r.disk.load(r.identity.Initial)
	if err != nil {
		return err
	}
	if state.Snapshot.Index > 0 {
		if err := r.machine.Restore(state.Snapshot.Data); err != nil {
			return r.disk.damaged(snapshotFile, "%v", err)
		}
	}
	r.applied = state.Snapshot.Index
	r.core = consensus.New(consensus.Config{
		ID: r.identity.Replica, ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks,
		MaxMessageBytes: maxMessageBytes, Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}, state)
	if r.transport.joining {
		r.core.CampaignOnNextTick()
	}
	r.transport.setGroup(r.identity.Group)
	r.transport.learnMembers(r.core.Membership())
	r.publish()
	r.log.Info().Uint64("snapshot", state.Snapshot.Index).Int("entries", len(state.Entries)).
		Int64("logBytes", r.disk.log.Size()).Int64("snapshotBytes", r.disk.snapshotBytes).
		Dur("took", time.Since(begun)).Msg("control state loaded")
	return nil
}

// Run forms or joins a group where the replica has none, and then drives it
// until ctx ends. It fails when the disk does.
func (r *Replica) Run(ctx context.Context) error {
	r.transport.run(ctx)
	if r.core == nil {
		if err := r.enterGroup(ctx); err != nil || ctx.Err() != nil {
			return err
		}
	}
	r.leadAlone()
	close(r.started)
	go r.maintain(ctx)
	ticker := time.NewTicker(r.settings.Timeouts.Heartbeat() / ticksPerHeartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			r.core.Tick()
		case event := <-r.events:
			event()
			r.takeQueued()
		}
		if err := r.handleReady(ctx); err != nil {
			return err
		}
	}
}

// leadAlone elects the only voter of a group at once: it has nobody to wait for.
func (r *Replica) leadAlone() {
	voters := r.core.Membership().Voters()
	if len(voters) != 1 || voters[0] != r.identity.Replica {
		return
	}
	for range 2 * electionTicks {
		r.core.Tick()
	}
}

// takeQueued handles the events that wait already, so that one sync serves them all.
func (r *Replica) takeQueued() {
	for range len(r.events) {
		(<-r.events)()
	}
}

// do runs an event on the loop, or gives up when ctx ends.
func (r *Replica) do(ctx context.Context, event func()) bool {
	select {
	case <-r.started:
	case <-ctx.Done():
		return false
	}
	select {
	case r.events <- event:
		return true
	case <-ctx.Done():
		return false
	}
}

// handleReady persists, then sends, then applies.
func (r *Replica) handleReady(ctx context.Context) error {
	for {
		ready := r.core.Ready()
		if ready.IsEmpty() {
			r.publish()
			r.endAnswers()
			return nil
		}
		if err := r.persist(ctx, &ready); err != nil {
			return err
		}
		r.transport.learnMembers(r.core.Membership())
		r.transport.send(r.answerHeartbeats(ready.Messages))
		for i := range ready.Committed {
			r.apply(&ready.Committed[i])
		}
		for _, read := range ready.ReadStates {
			r.finishRead(read.Context, read.Index)
		}
		if err := r.compact(); err != nil {
			return err
		}
	}
}

func (r *Replica) persist(ctx context.Context, ready *consensus.Ready) error {
	if ready.Snapshot != nil {
		if ready.HardState != nil {
			r.disk.hard = *ready.HardState
		}
		if err := r.disk.saveSnapshot(*ready.Snapshot, nil); err != nil {
			return err
		}
		if err := r.machine.Restore(ready.Snapshot.Data); err != nil {
			return err
		}
		r.applied = ready.Snapshot.Index
		r.failProposals()
	}
	if ready.HardState == nil && len(ready.Entries) == 0 {
		return nil
	}
	return r.appendWhenPossible(ctx, ready)
}

// appendWhenPossible waits while the disk is full. Meanwhile the replica says
// nothing to the others, as one whose disk is stuck: what it has not written it must
// not confirm, and a process that ends and starts again helps nobody.
func (r *Replica) appendWhenPossible(ctx context.Context, ready *consensus.Ready) error {
	for logged := false; ; logged = true {
		err := r.disk.append(ready.HardState, ready.Entries)
		if !errors.Is(err, durable.ErrNotWritten) {
			return err
		}
		if !logged {
			r.log.Error().Err(err).Msg("the replica waits for its disk")
		}
		if !actor.Sleep(ctx, fullDiskDelay) {
			return err
		}
	}
}

func (r *Replica) apply(entry *consensus.Entry) {
	var outcome []byte
	if entry.Type == consensus.EntryCommand {
		outcome = r.machine.Apply(entry.Data)
	}
	r.applied = entry.Index
	r.finishProposal(entry, outcome)
}

func (r *Replica) compact() error {
	isLong := r.disk.log.Size() > max(leastLogBytes, logShare*r.disk.snapshotBytes) && r.applied > r.core.SnapshotIndex()
	if !isLong && r.applied < r.core.SnapshotIndex()+snapshotEvery {
		return nil
	}
	data, err := r.machine.Snapshot()
	if err != nil {
		return err
	}
	snapshot, ok := r.core.Compact(r.applied, keptEntries, keptBytes)
	if !ok {
		return nil
	}
	snapshot.Data = data
	err = r.disk.saveSnapshot(snapshot, r.core.Entries())
	if errors.Is(err, syscall.ENOSPC) {
		// The log has all that the snapshot would have; the next one comes later.
		r.log.Warn().Err(err).Msg("no snapshot on a full disk")
		return nil
	}
	return err
}

// publish makes the state visible to other goroutines.
func (r *Replica) publish() {
	status := &Status{
		Status: r.core.Status(), Group: r.transport.currentGroup(), Applied: r.applied,
		SnapshotIndex: r.core.SnapshotIndex(),
		LogBytes:      r.disk.log.Size(), SnapshotBytes: r.disk.snapshotBytes,
		Current: r.core.HasActiveLeader(), Removed: r.status.Load().Removed, At: time.Now(),
	}
	if status.Role != consensus.RoleLeader {
		r.failProposals()
		r.failReads()
	}
	r.logBelief(r.status.Swap(status), status)
}

// logBelief logs what the replica newly believes of its leader and of the group.
func (r *Replica) logBelief(before, now *Status) {
	if before.Leader == now.Leader && before.Current == now.Current && before.Role == now.Role {
		return
	}
	r.log.Info().Uint64("term", now.Term).Str("leader", r.transport.instanceOf(now.Leader)).
		Str("role", now.Role.String()).Bool("current", now.Current).Uint64("commit", now.Commit).
		Int("voters", len(now.Membership.Voters())).Msg("control leader changed")
}

// Status describes the replica.
func (r *Replica) Status() Status { return *r.status.Load() }

// Ready reports why the replica does not serve yet, or nil: it votes and hears
// a leader.
func (r *Replica) Ready() error {
	status := r.Status()
	if !status.Membership.IsVoter(status.ID) || !status.Current {
		return api.Errorf(api.CodeNoQuorum, "the control replica is not a voter with a leader yet")
	}
	return nil
}
