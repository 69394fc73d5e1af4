package experiment

import (
	"cmp"
	"slices"
	"time"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/balance"
)

// Processing times of a server with a single request.
const (
	// prefillTime is the time per prompt token that is not cached.
	prefillTime = 100 * time.Microsecond
	// decodeTime is the time per answer token.
	decodeTime = 20 * time.Millisecond
	// batchSlowdown is the relative slowdown of a full batch compared with a single
	// request.
	batchSlowdown = 1.0
)

// Lengths of requests in tokens.
const (
	// turnTokens is the number of tokens that each turn adds to a chat.
	turnTokens = 200
	// maxTurns is the number of turns of a chat.
	maxTurns = 20
)

// server models a backend server: a batch of at most slots jobs, and a queue in
// front of it. All jobs of the batch progress at the same rate, which falls with
// the size of the batch.
type server struct {
	id     balance.ServerID
	index  int
	events *eventQueue
	slots  int
	speed  float64
	cache  *prefixCache
	// since is the virtual time at which the server was added or, once left is set,
	// removed.
	since time.Duration
	left  bool

	batch []*job
	queue []*job
	// progress is the work done for each job in the batch, accumulated since the
	// start of the simulation (the virtual time of processor sharing), as of
	// progressAt.
	progress   time.Duration
	progressAt time.Duration
	// scheduleVersion identifies the latest scheduled event; earlier ones are
	// ignored.
	scheduleVersion int
	// onLoadChange is called after each change of the load.
	onLoadChange func()
}

// job is a request on a server. It has two phases: prefill up to the first token,
// then decoding.
type job struct {
	chat         string
	class        api.Class
	promptTokens int
	answerTokens int
	// phaseEnd is the progress of the server at which the current phase ends.
	phaseEnd     time.Duration
	decoding     bool
	cachedTokens int
	onFirstByte  func()
	onDone       func()
}

// load returns the number of requests on the server, including queued ones.
func (s *server) load() int { return len(s.batch) + len(s.queue) }

// add adds a job. In the queue, short jobs precede long ones.
func (s *server) add(j *job) {
	s.advance()
	at := len(s.queue)
	if j.class == api.ClassShort {
		at = slices.IndexFunc(s.queue, func(other *job) bool { return other.class == api.ClassLong })
		if at < 0 {
			at = len(s.queue)
		}
	}
	s.queue = slices.Insert(s.queue, at, j)
	s.fillBatch()
	s.schedule()
	s.onLoadChange()
}

// fillBatch moves jobs from the queue into the free slots of the batch.
func (s *server) fillBatch() {
	for len(s.queue) > 0 && len(s.batch) < s.slots {
		j := s.queue[0]
		s.queue = s.queue[1:]
		j.cachedTokens = min(s.cache.tokens(j.chat), j.promptTokens)
		j.phaseEnd = s.progress + time.Duration(j.promptTokens-j.cachedTokens)*prefillTime + decodeTime
		s.batch = append(s.batch, j)
	}
}

// progressRate returns the progress per unit of virtual time.
func (s *server) progressRate() float64 {
	fill := float64(len(s.batch)-1) / float64(s.slots)
	return s.speed / (1 + batchSlowdown*max(fill, 0))
}

// advance updates progress to the current time. It must be called before the batch
// changes.
func (s *server) advance() {
	s.progress += time.Duration(float64(s.events.now-s.progressAt) * s.progressRate())
	s.progressAt = s.events.now
}

// schedule schedules the next end of a phase. It invalidates the event scheduled
// before.
func (s *server) schedule() {
	s.scheduleVersion++
	if len(s.batch) == 0 {
		return
	}
	version := s.scheduleVersion
	next := s.nextToFinish()
	delay := time.Duration(float64(next.phaseEnd-s.progress)/s.progressRate()) + 1
	s.events.scheduleAfter(max(delay, 1), func() {
		if s.scheduleVersion == version {
			s.finishPhase(next)
		}
	})
}

func (s *server) nextToFinish() *job {
	return slices.MinFunc(s.batch, func(a, b *job) int { return cmp.Compare(a.phaseEnd, b.phaseEnd) })
}

// finishPhase ends the current phase of a job.
func (s *server) finishPhase(j *job) {
	s.advance()
	if !j.decoding {
		j.decoding = true
		j.phaseEnd += time.Duration(j.answerTokens-1) * decodeTime
		s.cache.put(j.chat, j.promptTokens)
		j.onFirstByte()
		s.schedule()
		return
	}
	s.batch = slices.DeleteFunc(s.batch, func(other *job) bool { return other == j })
	s.cache.put(j.chat, j.promptTokens+j.answerTokens)
	s.fillBatch()
	s.schedule()
	s.onLoadChange()
	j.onDone()
}
