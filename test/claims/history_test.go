package claims

import (
	"context"
	"fmt"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/anishathalye/porcupine"

	"peridotwinch.example/peridotwinch/internal/ledger"
)

// attemptTimeout bounds an attempt, also one that waits for a vanished holder.
const attemptTimeout = 2 * time.Second

// call is a step of an attempt in a history.
type call struct {
	key     string
	kind    kind
	attempt ledger.AttemptID
}

type kind int

const (
	kindClaim kind = iota
	kindRelease
	kindComplete
)

// register is the model's state of a key: free, held or finished.
type register struct {
	holder   ledger.AttemptID
	answer   string
	finished bool
}

// keyModel is a key as one correct replica without faults would serve it.
// Verdicts that promise nothing are always right.
var keyModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := make(map[string][]porcupine.Operation)
		for _, op := range history {
			key := op.Input.(call).key
			byKey[key] = append(byKey[key], op)
		}
		var out [][]porcupine.Operation
		for _, ops := range byKey {
			out = append(out, ops)
		}
		return out
	},
	Init: func() any { return register{} },
	Step: func(state, input, output any) (bool, any) {
		return step(state.(register), input.(call), output.(ledger.Decision))
	},
}

func step(s register, in call, out ledger.Decision) (bool, any) {
	free := s.holder == ledger.AttemptID{}
	switch {
	case in.kind == kindRelease:
		return s.holder == in.attempt && !s.finished, register{}
	case in.kind == kindComplete:
		return s.holder == in.attempt, register{s.holder, in.attempt.String(), true}
	case out.Verdict == ledger.VerdictGranted:
		return free, register{holder: in.attempt}
	case out.Verdict == ledger.VerdictCompleted:
		return s.finished && s.answer == string(out.Answer.Body), s
	}
	return true, s
}

// recorder takes the history of concurrent attempts.
type recorder struct {
	mu      sync.Mutex
	history []porcupine.Operation
	client  atomic.Int64
	runs    sync.Map // key to *atomic.Int64
	granted atomic.Int64
}

// record runs an operation. One that failed may still take effect at any time
// later.
func (r *recorder) record(in call, run func() (ledger.Decision, error)) (ledger.Decision, error) {
	client := int(r.client.Add(1))
	started := time.Now().UnixNano()
	out, err := run()
	ended := time.Now().UnixNano()
	if err != nil {
		ended = math.MaxInt64
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history = append(r.history, porcupine.Operation{ClientId: client, Input: in, Call: started, Output: out, Return: ended})
	return out, err
}

// attempt claims a key and, as the draw says, vanishes, releases or runs.
func (r *recorder) attempt(c ledger.Claimer, value string, draw int) {
	ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
	defer cancel()
	key, id := customerKey(value), ledger.NewAttemptID()
	decision, _ := r.record(call{value, kindClaim, id}, func() (ledger.Decision, error) {
		return c.Claim(ctx, key, id, ledger.Digest{1}), nil
	})
	if decision.Verdict != ledger.VerdictGranted {
		return
	}
	r.granted.Add(1)
	switch {
	case draw < 5:
		return
	case draw < 30:
		_, _ = r.record(call{value, kindRelease, id}, func() (ledger.Decision, error) {
			return ledger.Decision{}, c.Release(ctx, key, id)
		})
		return
	}
	runs, _ := r.runs.LoadOrStore(value, &atomic.Int64{})
	runs.(*atomic.Int64).Add(1)
	_, _ = r.record(call{value, kindComplete, id}, func() (ledger.Decision, error) {
		return ledger.Decision{}, c.Complete(ctx, key, id, ledger.Answer{Status: 200, Body: []byte(id.String())})
	})
}

// doubled returns the keys that ran more than once, and how many ran.
func (r *recorder) doubled() (twice []string, ran int) {
	r.runs.Range(func(key, count any) bool {
		ran++
		if n := count.(*atomic.Int64).Load(); n > 1 {
			twice = append(twice, fmt.Sprintf("%s ran %d times", key, n))
		}
		return true
	})
	return twice, ran
}
