package fleetsync

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"peridotwinch.example/peridotwinch/internal/evacuation"
	"peridotwinch.example/peridotwinch/internal/quarantine"
	"peridotwinch.example/peridotwinch/internal/ratelimit"
	"peridotwinch.example/peridotwinch/internal/registry"
	"peridotwinch.example/peridotwinch/internal/relay"
	"peridotwinch.example/peridotwinch/internal/rpc/fleetpb"
)

const (
	// HeartbeatInterval is the maximum time between two events of a stream to a
	// router. Three intervals fit into the time within which a router must detect
	// the failure of its source.
	HeartbeatInterval = 400 * time.Millisecond
	// barrierTimeout limits the read barrier of a new router stream.
	barrierTimeout = 1500 * time.Millisecond
	// quorumPollInterval is the time between a stream's checks whether its source has a
	// quorum.
	quorumPollInterval = 200 * time.Millisecond
)

var (
	errNoQuorum = errors.New("source has no quorum or is not synchronized yet")
	errTooDeep  = errors.New("the path from control to the source has become too long")
)

// Source is the state that a process streams to routers: that of a control replica, or what
// a router has received.
type Source interface {
	// Table returns the newest route table, or nil.
	Table() *TableVersion
	// Subscribe returns a channel that receives a value after each change of the
	// state, and a function that ends the subscription.
	Subscribe() (<-chan struct{}, func())
	// Barrier is a read barrier: it returns once the state contains everything that
	// was committed before the call.
	Barrier(ctx context.Context) error
	// HasQuorum reports whether the state is that of a control replica in contact with a
	// majority.
	HasQuorum() bool
	// Controls returns the RPC addresses of all control replicas.
	Controls() []string
	// Evacuations returns the evacuated failure domains, or nil while they are unknown.
	Evacuations() *evacuation.Set
	// Upstream returns the path from the control replica to this process, without this
	// process; it is empty for a control replica.
	Upstream() relay.Path
}

// publisher streams a source's route table and a registry of servers to routers.
type publisher struct {
	log        zerolog.Logger
	ownAddress string
	source     Source
	loads      *loadCache
	losses     *quarantine.Store
	statements *statementCache
	// coordinator is the router that coordinates the slots of small pools.
	coordinator *coordinatorName
	tables      tableHistory
	barrier     *sharedCall
	// openSemaphore limits how many streams send their first event concurrently.
	openSemaphore chan struct{}
	pacer         *pacer
	// isSynced reports whether the registry is complete.
	isSynced func() bool
	// onFirstSubscriber is called with mu held when a first router is admitted; it may be nil.
	onFirstSubscriber func()
	// onStatements is called with newer statements of other processes; it may be nil.
	onStatements func(map[uint64]ratelimit.Statement)
	// onReportNews is called when the other replicas or the source should soon receive what this
	// process was sent.
	onReportNews func()
	// numbering returns the range of indices of all followers; it is called with mu held.
	numbering func(now time.Time) relay.Numbering
	// quorumWaitTimeout is how long a new stream is held while the source has no quorum.
	quorumWaitTimeout time.Duration

	mu        sync.Mutex
	admission *relay.Admission
	subtrees  *relay.Subtrees
	table     *registry.Table
	changed   chan struct{}
	// cachedRecords holds, by base revision, the records that changed between that
	// revision and cachedRevision.
	cachedRecords  map[uint64]*recordList
	cachedRevision uint64
	// cachedUntil bounds the age of the cached records; it is zero if there is no bound.
	cachedUntil time.Time
	// bucketDigests are those of the records at bucketRevision.
	bucketDigests  []uint32
	bucketRevision uint64
}

func newPublisher(address string, source Source, losses *quarantine.Store, limits relay.Limits, linkMbps float64, log zerolog.Logger) *publisher {
	p := &publisher{
		log: log, ownAddress: address, source: source, loads: newLoadCache(), losses: losses, statements: newStatementCache(),
		coordinator: &coordinatorName{},
		barrier:     newSharedCall(source.Barrier), openSemaphore: make(chan struct{}, maxOpeningStreams), pacer: newPacer(linkMbps),
		isSynced: func() bool { return true }, quorumWaitTimeout: quorumWaitTimeout,
		admission: relay.NewAdmission(limits), subtrees: relay.NewSubtrees(), table: registry.New(), changed: make(chan struct{}),
		cachedRecords: make(map[uint64]*recordList),
	}
	losses.OnChange(p.wakeStreams)
	return p
}

// path returns the path from the control replica to this process.
func (p *publisher) path() relay.Path {
	return append(slices.Clone(p.source.Upstream()), p.ownAddress)
}

// Subscribers returns the number of routers that follow this process.
func (p *publisher) Subscribers() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.admission.Len()
}

// Subtree returns the summary of the routers that follow this process, directly or through
// relays, and of one more router unless its name is empty.
func (p *publisher) Subtree(own relay.Applied, now time.Time) relay.Subtree {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.subtrees.Sum(own, now)
}

// Confirm implements the Confirm RPC of the Fleet service.
func (p *publisher) Confirm(ctx context.Context, _ *fleetpb.ConfirmRequest) (*fleetpb.ConfirmResponse, error) {
	if err := p.awaitReadBarrier(ctx); err != nil {
		return nil, err
	}
	response := &fleetpb.ConfirmResponse{}
	if table := p.source.Table(); table != nil {
		response.Generation = table.Generation
	}
	if evacuations := p.source.Evacuations(); evacuations != nil {
		response.EvacuationRevision = evacuations.Revision
	}
	return response, nil
}

// notifyChanged wakes all streams after a change of the registry; the caller holds mu.
func (p *publisher) notifyChanged() {
	close(p.changed)
	p.changed = make(chan struct{})
}
