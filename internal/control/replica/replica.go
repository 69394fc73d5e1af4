// Package replica runs a control replica: it drives the consensus core, persists its state
// before it sends messages, applies committed commands to a state machine, and forms or
// joins the group. It forwards proposals and reads to the leader.
package replica

import (
	"context"
	"math/rand/v2"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/consensus"
	"peridotwinch.example/peridotwinch/internal/settings"
)

const (
	// ticksPerHeartbeatSetting is the number of the core's ticks in the time of the setting
	// timeouts.heartbeatMs.
	ticksPerHeartbeatSetting = 10
	// electionTicks is the minimum election timeout in ticks: one and a half times the
	// heartbeat setting. With two times, a change submitted right after the loss of the
	// leader took effect close to the limit of 4 s.
	electionTicks = 3 * ticksPerHeartbeatSetting / 2
	// heartbeatTicks is the leader's heartbeat interval in ticks.
	heartbeatTicks = 4
	// maxMessageBytes limits the entries of one message. On the slowest known link, of
	// 3 Mbit/s, such a message delays a heartbeat by 0.09 s; the election timeout is 0.6 s.
	maxMessageBytes = 32 << 10
	// snapshotIntervalEntries is the number of applied entries after which a snapshot is
	// taken.
	snapshotIntervalEntries = 256
	// A snapshot is taken earlier if the log is larger than minCompactLogBytes and larger
	// than maxLogToSnapshotRatio times the newest snapshot, because the leader sends its
	// whole log to an empty replica.
	minCompactLogBytes    = 64 << 10
	maxLogToSnapshotRatio = 2
	// retainedBytes and retainedEntries limit the entries that stay in memory below a
	// snapshot, so that a replica that is only slightly behind needs no snapshot.
	retainedBytes   = 64 << 10
	retainedEntries = 256
	// eventQueueLength limits the events that are queued for the event loop.
	eventQueueLength = 1024
	// fullDiskRetryDelay is the delay before a write to a full disk is retried.
	fullDiskRetryDelay = 100 * time.Millisecond
	// snapshotRetryDelay is the delay before a snapshot that the disk has refused is retried.
	snapshotRetryDelay = time.Second
	// retryDelay is the delay before a proposal or a read is retried.
	retryDelay = 20 * time.Millisecond
)

// StateMachine is the state that the group replicates. It must be deterministic: the same
// commands in the same order result in the same state on all replicas.
type StateMachine interface {
	// Apply applies a command and returns its outcome.
	Apply(command []byte) []byte
	// Snapshot returns the complete state in encoded form.
	Snapshot() ([]byte, error)
	// Restore replaces the complete state by that of a snapshot.
	Restore(snapshot []byte) error
}

// Replica is a control replica. It is safe for concurrent use.
type Replica struct {
	log          zerolog.Logger
	settings     *settings.Settings
	stateMachine StateMachine
	disk         *disk
	transport    *transport
	events       chan func()
	started      chan struct{}
	status       atomic.Pointer[Status]

	identityMu sync.Mutex
	identity   identity

	// The fields below are accessed only by the event loop.
	core              *consensus.Replica
	applied           uint64
	pendingProposals  map[uint64]*proposal
	pendingReads      map[uint64]chan<- uint64
	lastReadContext   uint64
	pendingHeartbeats []pendingHeartbeat
	// compactAfter is the time before which no snapshot is taken.
	compactAfter time.Time
	// inactiveSince is the time at which the leader first found a member inactive, for the
	// members that are inactive now.
	inactiveSince map[consensus.ReplicaID]time.Time
}

// Status describes a replica after its last tick or event.
type Status struct {
	consensus.Status
	Group         string
	Applied       uint64
	SnapshotIndex uint64
	LogBytes      int64
	SnapshotBytes int64
	// HasActiveLeader reports whether the replica is the leader, or has received a message
	// from the leader within the minimum election timeout.
	HasActiveLeader bool
	// Removed reports whether the group has removed this replica.
	Removed bool
	// At is the time of the status; it stops advancing if the disk is stuck.
	At time.Time
}

// New returns a replica and loads its durable state, if there is one. The error has
// api.CodeDataDamaged if a file of the replica is damaged or missing.
func New(s *settings.Settings, stateMachine StateMachine, log zerolog.Logger) (*Replica, error) {
	r := &Replica{
		log: log, settings: s, stateMachine: stateMachine,
		disk:             &disk{dir: filepath.Join(s.DataDir, "control")},
		transport:        newTransport(s, log),
		events:           make(chan func(), eventQueueLength),
		started:          make(chan struct{}),
		pendingProposals: make(map[uint64]*proposal),
		pendingReads:     make(map[uint64]chan<- uint64),
	}
	r.transport.handleHeartbeatResponse = r.stepHeartbeatResponse
	r.transport.readSnapshot = r.disk.readSnapshot
	r.status.Store(&Status{})
	var err error
	if r.identity, err = r.disk.loadIdentity(); err != nil {
		return nil, err
	}
	if r.identity.Group == "" {
		return r, nil
	}
	return r, r.loadState()
}

// loadState reads the durable state and starts the core from it.
func (r *Replica) loadState() error {
	start := time.Now()
	state, err := r.disk.load(r.identity.Initial)
	if err != nil {
		return err
	}
	if state.Snapshot.Index > 0 {
		if err := r.stateMachine.Restore(state.Snapshot.Data); err != nil {
			return r.disk.damagedError(snapshotFile, "%v", err)
		}
	}
	r.applied = state.Snapshot.Index
	r.core = consensus.New(consensus.Config{
		ID: r.identity.Replica, ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks,
		MaxMessageBytes: maxMessageBytes, Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}, state)
	if r.transport.usesSeeds {
		r.core.CampaignOnNextTick()
	}
	r.transport.setGroup(r.identity.Group)
	r.transport.recordMembers(r.core.Membership())
	r.publishStatus()
	r.log.Info().Uint64("snapshot", state.Snapshot.Index).Int("entries", len(state.Entries)).
		Int64("logBytes", r.disk.log.Size()).Int64("snapshotBytes", r.disk.snapshotBytes).
		Dur("took", time.Since(start)).Msg("control state loaded")
	return nil
}

// Run forms or joins a group if the replica has none, and then runs the event loop until
// ctx ends. It returns an error if the replica cannot read or write its files; it retries
// while the disk is full.
func (r *Replica) Run(ctx context.Context) error {
	r.transport.run(ctx)
	if r.core == nil {
		if err := r.formOrJoinGroup(ctx); err != nil || ctx.Err() != nil {
			return err
		}
	}
	r.electSingleVoter()
	close(r.started)
	go r.maintainMembership(ctx)
	if r.transport.usesSeeds {
		go r.recordDomains(ctx)
	}
	ticker := time.NewTicker(r.settings.Timeouts.Heartbeat() / ticksPerHeartbeatSetting)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			r.core.Tick()
		case event := <-r.events:
			event()
			r.runQueuedEvents()
		}
		if err := r.handleReady(ctx); err != nil {
			return err
		}
	}
}

// electSingleVoter makes the replica the leader at once if it is the only voter: it needs
// no other votes.
func (r *Replica) electSingleVoter() {
	voters := r.core.Membership().Voters()
	if len(voters) != 1 || voters[0] != r.identity.Replica {
		return
	}
	for range 2 * electionTicks {
		r.core.Tick()
	}
}

// runQueuedEvents handles the events that are already queued, so that one sync of the log
// covers all of them.
func (r *Replica) runQueuedEvents() {
	for range len(r.events) {
		(<-r.events)()
	}
}

// enqueue queues an event for the event loop, and does not wait until the event has run. It
// returns false if ctx ends before the event is queued.
func (r *Replica) enqueue(ctx context.Context, event func()) bool {
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

// handleReady does the work that the core returns until there is none left. It persists the
// state before it sends messages, and sends messages before it applies committed entries:
// what this replica acknowledges to others is durable.
func (r *Replica) handleReady(ctx context.Context) error {
	for {
		ready := r.core.Ready()
		if ready.IsEmpty() {
			r.publishStatus()
			r.closePendingHeartbeats()
			return nil
		}
		if err := r.persist(ctx, &ready); err != nil {
			return err
		}
		r.transport.recordMembers(r.core.Membership())
		r.transport.enqueue(r.respondToHeartbeats(ready.Messages))
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

func (r *Replica) apply(entry *consensus.Entry) {
	var outcome []byte
	if entry.Type == consensus.EntryCommand {
		outcome = r.stateMachine.Apply(entry.Data)
	}
	r.applied = entry.Index
	r.finishProposal(entry, outcome)
}

// publishStatus stores the status for other goroutines. If the replica is not the leader,
// it ends the pending proposals and reads without an outcome.
func (r *Replica) publishStatus() {
	status := &Status{
		Status: r.core.Status(), Group: r.transport.currentGroup(), Applied: r.applied,
		SnapshotIndex: r.core.SnapshotIndex(),
		LogBytes:      r.disk.log.Size(), SnapshotBytes: r.disk.snapshotBytes,
		HasActiveLeader: r.core.HasActiveLeader(), Removed: r.status.Load().Removed, At: time.Now(),
	}
	if status.Role != consensus.RoleLeader {
		r.failProposals()
		r.failReads()
	}
	r.logLeaderChange(r.status.Swap(status), status)
}

// logLeaderChange logs a change of the leader, of the replica's role or of HasActiveLeader.
func (r *Replica) logLeaderChange(previous, current *Status) {
	if previous.Leader == current.Leader && previous.HasActiveLeader == current.HasActiveLeader &&
		previous.Role == current.Role {
		return
	}
	r.log.Info().Uint64("term", current.Term).Str("leader", r.transport.instanceOf(current.Leader)).
		Str("role", current.Role.String()).Bool("current", current.HasActiveLeader).Uint64("commit", current.Commit).
		Int("voters", len(current.Membership.Voters())).Msg("control leadership changed")
}

// Status returns the current status of the replica.
func (r *Replica) Status() Status { return *r.status.Load() }

// CheckReady returns an error with api.CodeNoQuorum unless the replica is a voter and has an
// active leader.
func (r *Replica) CheckReady() error {
	status := r.Status()
	if !status.Membership.IsVoter(status.ID) || !status.HasActiveLeader {
		return api.Errorf(api.CodeNoQuorum, "the control replica is not a voter or has no contact with a leader that has a majority")
	}
	return nil
}
