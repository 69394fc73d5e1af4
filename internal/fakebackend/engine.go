package fakebackend

import (
	"slices"
	"time"

	"peridotwinch.example/peridotwinch/api"
)

// Timing is the timing of a model engine.
type Timing struct {
	// Token is the duration of a step that generates a token for one request.
	Token time.Duration
	// PerRequest is added to a step for each further request of the batch.
	PerRequest time.Duration
	// PerPromptToken is added to a step for each prompt token that is processed.
	PerPromptToken time.Duration
}

// promptChunk bounds the prompt tokens processed in one step, so that a long prompt does
// not delay the other requests of the batch.
const promptChunk = 512

// job is a request in the engine.
type job struct {
	chat   string
	class  api.Class
	prompt []segment
	// promptLeft is the number of prompt tokens still to be processed.
	promptLeft int
	// cached is the number of prompt tokens found in the cache on admission.
	cached int
	// tokensLeft is the number of tokens still to be generated.
	tokensLeft int
	// ready receives one value for each generated token.
	ready chan struct{}
}

// cacheChange records that a chat's prefix was stored in or evicted from the cache.
type cacheChange struct {
	chat    string
	evicted bool
}

// engine simulates a model engine with continuous batching: each step generates the next
// token of every running request, and the duration of the step grows with the batch. It
// does no I/O, reads no clock and is not safe for concurrent use. At most slots jobs run;
// waiting holds short jobs before long ones, each in order of submission.
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

// submit queues a job after those of its class; short jobs are queued before long ones.
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

// cancel removes a queued or running job.
func (e *engine) cancel(j *job) {
	same := func(other *job) bool { return other == j }
	e.waiting = slices.DeleteFunc(e.waiting, same)
	e.running = slices.DeleteFunc(e.running, same)
}

// idle reports whether the engine has no jobs.
func (e *engine) idle() bool { return len(e.waiting)+len(e.running) == 0 }

// load returns the number of queued and running jobs.
func (e *engine) load() int { return len(e.waiting) + len(e.running) }

// beginStep admits queued jobs to the batch and processes prompts. It returns the duration of
// the step without slowdown. The engine must not be idle.
func (e *engine) beginStep() time.Duration {
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

// processPrompts processes up to promptChunk prompt tokens, short jobs first, and returns
// the number of tokens processed.
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

// finishStep ends a step: it generates a token for each running job whose prompt is
// processed, and removes the jobs that have all their tokens.
func (e *engine) finishStep() {
	for _, j := range e.running {
		if j.promptLeft > 0 || j.tokensLeft == 0 {
			continue
		}
		j.tokensLeft--
		j.ready <- struct{}{}
	}
	e.running = slices.DeleteFunc(e.running, func(j *job) bool { return j.promptLeft == 0 && j.tokensLeft == 0 })
}

// cacheTurn caches the prompt and its answer as the prefix of the chat's next turn.
func (e *engine) cacheTurn(j *job, answer segment) {
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
