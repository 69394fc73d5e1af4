package fakebackend

import (
	"slices"
	"time"

	"peridotwinch.example/peridotwinch/api"
)

// Timing says how long the work of a model engine takes.
type Timing struct {
	// Token is the length of a step in which one request gets its next token.
	Token time.Duration
	// PerRequest is what each further request of the batch adds to a step.
	PerRequest time.Duration
	// PerPromptToken is what each prompt token that is not cached adds to a step.
	PerPromptToken time.Duration
}

// promptChunk bounds the prompt tokens that one step processes, so that a long
// prompt does not hold up the other requests of the batch.
const promptChunk = 512

// job is a request inside the engine.
type job struct {
	chat   string
	class  api.Class
	prompt []segment
	// promptLeft counts the prompt tokens that are still to be processed.
	promptLeft int
	cached     int
	// tokensLeft counts the tokens that are still to be generated.
	tokensLeft int
	// ready receives one value for each generated token.
	ready chan struct{}
}

// cacheChange tells that a chat's prefix entered or left the cache.
type cacheChange struct {
	chat    string
	evicted bool
}

// engine is a model engine with continuous batching: in each step every running
// request gets its next token, and the step grows with the batch. It is pure and
// not safe for concurrent use.
type engine struct {
	timing  Timing
	slots   int
	cache   *prefixCache
	waiting []*job
	running []*job
	changes []cacheChange
}

func newEngine(timing Timing, slots, cacheTokens int) *engine {
	return &engine{timing: timing, slots: slots, cache: newPrefixCache(cacheTokens)}
}

// submit queues a job behind those of its class; short work goes before long work.
func (e *engine) submit(j *job) {
	at := len(e.waiting)
	if j.class != api.ClassLong {
		at = slices.IndexFunc(e.waiting, func(other *job) bool { return other.class == api.ClassLong })
	}
	if at < 0 {
		at = len(e.waiting)
	}
	e.waiting = slices.Insert(e.waiting, at, j)
}

// cancel drops a job that waits or runs.
func (e *engine) cancel(j *job) {
	same := func(other *job) bool { return other == j }
	e.waiting = slices.DeleteFunc(e.waiting, same)
	e.running = slices.DeleteFunc(e.running, same)
}

// idle reports whether there is nothing to do.
func (e *engine) idle() bool { return len(e.waiting)+len(e.running) == 0 }

// load returns how many jobs the engine holds.
func (e *engine) load() int { return len(e.waiting) + len(e.running) }

// begin starts a step and returns its length at full speed.
func (e *engine) begin() time.Duration {
	for len(e.running) < e.slots && len(e.waiting) > 0 {
		e.admit(e.waiting[0])
		e.waiting = e.waiting[1:]
	}
	length := e.timing.Token + time.Duration(len(e.running)-1)*e.timing.PerRequest
	return length + time.Duration(e.processPrompts())*e.timing.PerPromptToken
}

func (e *engine) admit(j *job) {
	j.cached = e.cache.lookup(j.chat, j.prompt)
	j.promptLeft = tokensOf(j.prompt) - j.cached
	e.store(j.chat, j.prompt)
	e.running = append(e.running, j)
}

// processPrompts spends a step's share of prompt work, short jobs first, and
// returns the number of tokens processed.
func (e *engine) processPrompts() int {
	left := promptChunk
	for _, long := range []bool{false, true} {
		for _, j := range e.running {
			if (j.class == api.ClassLong) != long {
				continue
			}
			part := min(left, j.promptLeft)
			j.promptLeft -= part
			left -= part
		}
	}
	return promptChunk - left
}

// finish ends a step: each running job whose prompt is processed gets a token.
// Jobs that got their last token leave the engine.
func (e *engine) finish() {
	for _, j := range e.running {
		if j.promptLeft > 0 || j.tokensLeft == 0 {
			continue
		}
		j.tokensLeft--
		j.ready <- struct{}{}
	}
	e.running = slices.DeleteFunc(e.running, func(j *job) bool { return j.promptLeft == 0 && j.tokensLeft == 0 })
}

// remember stores the prompt together with its answer, for the chat's next turn.
func (e *engine) remember(j *job, answer segment) {
	e.store(j.chat, append(slices.Clone(j.prompt), answer))
}

func (e *engine) store(chat string, prefix []segment) {
	e.changes = append(e.changes, cacheChange{chat: chat})
	for _, evicted := range e.cache.store(chat, prefix) {
		e.changes = append(e.changes, cacheChange{chat: evicted, evicted: true})
	}
}

// takeChanges returns the cache changes since the last call.
func (e *engine) takeChanges() []cacheChange {
	changes := e.changes
	e.changes = nil
	return changes
}
