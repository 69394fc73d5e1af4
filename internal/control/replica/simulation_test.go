package replica

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"peridotwinch.example/peridotwinch/internal/consensus"
	"peridotwinch.example/peridotwinch/internal/rpc/consensuspb"
	"peridotwinch.example/peridotwinch/internal/settings"
)

const (
	// simulationTick is the tick of a group with the heartbeat setting of 400 ms.
	simulationTick  = 40 * time.Millisecond
	proposeInterval = 5 * simulationTick
	// startTime is the time from the start of a process to its first request to join.
	startTime = 600 * time.Millisecond
	// repairTime is how long an instance that loses its disk is down.
	repairTime = time.Second
)

// simulation runs the consensus cores and the membership policy of a group that joins by seeds, in
// virtual time and without disks and connections. A message takes one tick.
type simulation struct {
	random    *rand.Rand
	tolerated int
	now       time.Duration
	epoch     time.Time
	// replicas has all replicas that ever ran, by their IDs; ids are in the order of their starts.
	replicas map[consensus.ReplicaID]*simulatedReplica
	ids      []consensus.ReplicaID
	messages []consensus.Message
	// events run at their times.
	events []simulatedEvent
	// proposed numbers the commands; acknowledged are those that a leader has applied.
	proposed     uint64
	acknowledged []uint64
	lastAckedAt  time.Duration
}

type simulatedEvent struct {
	at  time.Duration
	run func()
}

// simulatedReplica is a replica with its disk.
type simulatedReplica struct {
	*Replica
	id       consensus.ReplicaID
	instance string
	domain   string
	initial  consensus.Membership
	running  bool
	// gone is set once the disk is lost or the instance is removed.
	gone      bool
	hardState consensus.HardState
	entries   []consensus.Entry
	applied   map[uint64]bool
	// nextMaintenance is when the membership is checked next.
	nextMaintenance time.Duration
}

// newSimulation returns a running group of instances in the given failure domains. The first three
// are the seeds.
func newSimulation(seed uint64, tolerated int, domains ...string) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 1)), tolerated: tolerated, epoch: time.Unix(1e9, 0),
		replicas: make(map[consensus.ReplicaID]*simulatedReplica),
	}
	var founders []consensus.Member
	for i := range 3 {
		founders = append(founders, consensus.Member{ID: consensus.ReplicaID(i + 1), Instance: instanceNumber(i)})
	}
	for i, domain := range domains {
		var initial consensus.Membership
		if i < len(founders) {
			initial = consensus.NewMembership(founders...)
		}
		s.start(instanceNumber(i), domain, true, initial)
	}
	s.run(8 * time.Second)
	return s
}

func instanceNumber(i int) string { return fmt.Sprint("control-", i+1) }

// start starts a replica with an empty disk.
func (s *simulation) start(instance, domain string, isFounder bool, initial consensus.Membership) {
	id := consensus.ReplicaID(len(s.ids) + 1)
	r := &simulatedReplica{
		id: id, instance: instance, domain: domain, initial: initial, nextMaintenance: s.now + startTime,
		Replica: &Replica{log: zerolog.Nop(), settings: &settings.Settings{
			FailureDomain: domain, Join: &settings.Join{Bootstrap: isFounder, FaultTolerance: s.tolerated},
		}},
	}
	r.identity.Replica = id
	s.replicas[id], s.ids = r, append(s.ids, id)
	s.load(r)
}

// load starts the core of a replica from its disk.
func (s *simulation) load(r *simulatedReplica) {
	r.running, r.applied = true, make(map[uint64]bool)
	r.core = consensus.New(consensus.Config{
		ID: r.id, ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks, MaxMessageBytes: maxMessageBytes, Rand: s.random,
	}, consensus.State{HardState: r.hardState, Snapshot: consensus.Snapshot{Membership: r.initial}, Entries: slices.Clone(r.entries)})
}

// at runs an event at a time.
func (s *simulation) at(at time.Duration, run func()) {
	s.events = append(s.events, simulatedEvent{at: at, run: run})
}

// of returns the replica on the disk of an instance, or nil if there is none.
func (s *simulation) of(instance string) *simulatedReplica {
	for _, id := range s.ids {
		if r := s.replicas[id]; !r.gone && r.instance == instance {
			return r
		}
	}
	return nil
}

// end ends the process of an instance for good.
func (s *simulation) end(instance string) {
	if r := s.of(instance); r != nil {
		r.running, r.gone = false, true
	}
}

// restart ends the process of an instance, which starts again after a time with its disk.
func (s *simulation) restart(instance string, after time.Duration) {
	r := s.of(instance)
	if r == nil || !r.running {
		return
	}
	r.running = false
	s.at(s.now+after, func() {
		if !r.gone {
			s.load(r)
			r.nextMaintenance = s.now + startTime
		}
	})
}

// restartAll ends the processes of all instances, which start again after a time with their disks.
func (s *simulation) restartAll(after time.Duration) {
	for _, id := range slices.Clone(s.ids) {
		if r := s.replicas[id]; !r.gone {
			s.restart(r.instance, after)
		}
	}
}

// loseDisk ends the replica of an instance, which runs another one after repairTime.
func (s *simulation) loseDisk(instance string) {
	r := s.of(instance)
	if r == nil {
		return
	}
	r.running, r.gone = false, true
	s.at(s.now+repairTime, func() { s.start(instance, r.domain, false, consensus.Membership{}) })
}

// run advances the time.
func (s *simulation) run(duration time.Duration) {
	for until := s.now + duration; s.now < until; s.now += simulationTick {
		due := slices.DeleteFunc(slices.Clone(s.events), func(e simulatedEvent) bool { return e.at > s.now })
		s.events = slices.DeleteFunc(s.events, func(e simulatedEvent) bool { return e.at <= s.now })
		for _, event := range due {
			event.run()
		}
		delivered := s.messages
		s.messages = nil
		for _, m := range delivered {
			if to := s.replicas[m.To]; to != nil && to.running {
				to.core.Step(m)
				s.processReady(to)
			}
		}
		for _, id := range s.ids {
			if r := s.replicas[id]; r.running {
				r.core.Tick()
				s.processReady(r)
			}
		}
		for _, id := range s.ids {
			if r := s.replicas[id]; r.running && s.now >= r.nextMaintenance {
				r.nextMaintenance = s.now + ticksPerHeartbeatSetting*simulationTick
				s.maintain(r)
				s.processReady(r)
			}
		}
		s.propose()
	}
}

// processReady does the work that a core returns.
func (s *simulation) processReady(r *simulatedReplica) {
	for {
		ready := r.core.Ready()
		if ready.IsEmpty() {
			return
		}
		if ready.HardState != nil {
			r.hardState = *ready.HardState
		}
		if len(ready.Entries) > 0 {
			r.entries = append(r.entries[:ready.Entries[0].Index-1:ready.Entries[0].Index-1], ready.Entries...)
		}
		s.messages = append(s.messages, ready.Messages...)
		for _, entry := range ready.Committed {
			if entry.Type != consensus.EntryCommand {
				continue
			}
			command := binary.BigEndian.Uint64(entry.Data)
			r.applied[command] = true
			if r.core.Status().Role == consensus.RoleLeader {
				s.acknowledged, s.lastAckedAt = append(s.acknowledged, command), s.now
			}
		}
	}
}

// propose proposes a command every 0.2 s to the leader, if there is one.
func (s *simulation) propose() {
	if s.now%proposeInterval != 0 {
		return
	}
	if leader := s.leader(); leader != nil {
		s.proposed++
		_, _, _ = leader.core.Propose(binary.BigEndian.AppendUint64(nil, s.proposed))
		s.processReady(leader)
	}
}

// leader returns the leader with the highest term, or nil.
func (s *simulation) leader() (leader *simulatedReplica) {
	for _, id := range s.ids {
		r := s.replicas[id]
		if r.running && r.core.Status().Role == consensus.RoleLeader && (leader == nil || r.core.Status().Term > leader.core.Status().Term) {
			leader = r
		}
	}
	return leader
}

// maintain does for a replica what maintainMembership does.
func (s *simulation) maintain(r *simulatedReplica) {
	status := r.core.Status()
	hasLeader := r.core.HasActiveLeader()
	switch {
	case status.Role == consensus.RoleLeader:
		if domains := r.missingDomains(status.Membership, s.helloResponses(r)); len(domains) > 0 {
			r.proposeDomains(domains)
		}
		if r.adjustMembership(s.epoch.Add(s.now)) {
			r.nextMaintenance = s.now + simulationTick
		}
	case !status.Membership.IsVoter(r.id) || !hasLeader:
		if !hasLeader {
			for _, lost := range lostDisks(status.Membership, s.helloResponses(r)) {
				r.core.RecordLostDisks(lost.ID)
			}
		}
		if leader := s.leader(); leader != nil && leader != r {
			leader.addLearner(r.joinRequest(status, "", r.instance))
			s.processReady(leader)
		}
	}
}

func (s *simulation) helloResponses(to *simulatedReplica) (responses []*consensuspb.HelloResponse) {
	for _, id := range s.ids {
		if r := s.replicas[id]; r.running && r != to {
			responses = append(responses, &consensuspb.HelloResponse{Instance: r.instance, Replica: uint64(r.id), Domain: r.domain})
		}
	}
	return responses
}
