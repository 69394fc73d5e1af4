package experiment

import (
	"cmp"
	"slices"
	"time"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/balance"
)

// Costs of the work of a server that works on one request alone.
const (
	// prefillTime is the time for a prompt token that is not cached.
	prefillTime = 100 * time.Microsecond
	// decodeTime is the time for a token of the answer.
	decodeTime = 20 * time.Millisecond
	// batchSlowdown is by how much a full batch is slower than a single request.
	batchSlowdown = 1.0
)

// Lengths of requests in tokens.
const (
	// turnTokens is the growth of a chat with each turn.
	turnTokens = 200
	// maxTurns is the length of a chat.
	maxTurns = 20
)

// server is a backend server: a batch of bounded size, all of whose jobs
// progress at the same speed, which falls with the size, and a queue before it.
type server struct {
	id     balance.ServerID
	index  int
	events *events
	slots  int
	speed  float64
	cache  *prefixCache
	since  time.Duration
	left   bool

	batch   []*job
	waiting []*job
	// progress is the virtual work that each job of the batch has got so far.
	progress time.Duration
	updated  time.Duration
	epoch    int
	changed  func()
}

// job is a request on a server.
type job struct {
	chat   string
	class  api.Class
	prompt int
	answer int
	// target is the server's progress at which the present phase ends.
	target    time.Duration
	decoding  bool
	cached    int
	firstByte func()
	done      func()
}

// load is the number of requests on the server.
func (s *server) load() int { return len(s.batch) + len(s.waiting) }

// add takes a job; short ones go ahead of long ones in the queue.
func (s *server) add(j *job) {
	s.advance()
	at := len(s.waiting)
	if j.class == api.ClassShort {
		at = slices.IndexFunc(s.waiting, func(other *job) bool { return other.class == api.ClassLong })
		if at < 0 {
			at = len(s.waiting)
		}
	}
	s.waiting = slices.Insert(s.waiting, at, j)
	s.admit()
	s.schedule()
	s.changed()
}

// admit moves jobs from the queue into free places of the batch.
func (s *server) admit() {
	for len(s.waiting) > 0 && len(s.batch) < s.slots {
		j := s.waiting[0]
		s.waiting = s.waiting[1:]
		j.cached = min(s.cache.tokens(j.chat), j.prompt)
		j.target = s.progress + time.Duration(j.prompt-j.cached)*prefillTime + decodeTime
		s.batch = append(s.batch, j)
	}
}

// rate is the progress for each unit of time.
func (s *server) rate() float64 {
	fill := float64(len(s.batch)-1) / float64(s.slots)
	return s.speed / (1 + batchSlowdown*max(fill, 0))
}

func (s *server) advance() {
	s.progress += time.Duration(float64(s.events.now-s.updated) * s.rate())
	s.updated = s.events.now
}

// schedule plans the end of the phase that ends first.
func (s *server) schedule() {
	s.epoch++
	if len(s.batch) == 0 {
		return
	}
	epoch := s.epoch
	next := s.next()
	delay := time.Duration(float64(next.target-s.progress)/s.rate()) + 1
	s.events.after(max(delay, 1), func() {
		if s.epoch == epoch {
			s.finish(next)
		}
	})
}

func (s *server) next() *job {
	return slices.MinFunc(s.batch, func(a, b *job) int { return cmp.Compare(a.target, b.target) })
}

// finish ends a job's phase.
func (s *server) finish(j *job) {
	s.advance()
	if !j.decoding {
		j.decoding = true
		j.target += time.Duration(j.answer-1) * decodeTime
		s.cache.put(j.chat, j.prompt)
		j.firstByte()
		s.schedule()
		return
	}
	s.batch = slices.DeleteFunc(s.batch, func(other *job) bool { return other == j })
	s.cache.put(j.chat, j.prompt+j.answer)
	s.admit()
	s.schedule()
	s.changed()
	j.done()
}
