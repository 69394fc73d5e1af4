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

// attemptTimeout bounds an attempt, also one that waits for a holder that has
// vanished without a release.
const attemptTimeout = 2 * time.Second

// operation is the input of one operation in a history.
type operation struct {
	key     string
	kind    operationKind
	attempt ledger.AttemptID
}

type operationKind int

const (
	kindClaim operationKind = iota
	kindRelease
	kindComplete
)

// keyState is the model's state of a key: free, held or completed.
type keyState struct {
	holder   ledger.AttemptID
	answer   string
	finished bool
}

// keyModel is the sequential specification of a key, as a single replica without
// faults serves it. Verdicts other than granted and completed are always allowed.
var keyModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := make(map[string][]porcupine.Operation)
		for _, op := range history {
			key := op.Input.(operation).key
			byKey[key] = append(byKey[key], op)
		}
		var out [][]porcupine.Operation
		for _, ops := range byKey {
			out = append(out, ops)
		}
		return out
	},
	Init: func() any { return keyState{} },
	Step: func(state, input, output any) (bool, any) {
		return step(state.(keyState), input.(operation), output.(ledger.Decision))
	},
}

func step(s keyState, in operation, out ledger.Decision) (bool, any) {
	free := s.holder == ledger.AttemptID{}
	switch {
	case in.kind == kindRelease:
		return s.holder == in.attempt && !s.finished, keyState{}
	case in.kind == kindComplete:
		return s.holder == in.attempt, keyState{s.holder, in.attempt.String(), true}
	case out.Verdict == ledger.VerdictGranted:
		return free, keyState{holder: in.attempt}
	case out.Verdict == ledger.VerdictCompleted:
		return s.finished && s.answer == string(out.Answer.Body), s
	}
	return true, s
}

// recorder records the history of concurrent attempts.
type recorder struct {
	mu         sync.Mutex
	history    []porcupine.Operation
	lastClient atomic.Int64
	runs       sync.Map // key to *atomic.Int64, the number of executions
	granted    atomic.Int64
}

// record runs an operation and adds it to the history. A failed operation may
// still take effect later, so its return time is unbounded.
func (r *recorder) record(in operation, run func() (ledger.Decision, error)) (ledger.Decision, error) {
	client := int(r.lastClient.Add(1))
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

// runAttempt claims a key. If it is granted, the draw decides: below 5 the attempt
// vanishes, below 30 it releases the key, otherwise it runs and completes it.
func (r *recorder) runAttempt(c ledger.Claimer, value string, draw int) {
	ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
	defer cancel()
	key, id := customerKey(value), ledger.NewAttemptID()
	decision, _ := r.record(operation{value, kindClaim, id}, func() (ledger.Decision, error) {
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
		_, _ = r.record(operation{value, kindRelease, id}, func() (ledger.Decision, error) {
			return ledger.Decision{}, c.Release(ctx, key, id)
		})
		return
	}
	runs, _ := r.runs.LoadOrStore(value, &atomic.Int64{})
	runs.(*atomic.Int64).Add(1)
	_, _ = r.record(operation{value, kindComplete, id}, func() (ledger.Decision, error) {
		return ledger.Decision{}, c.Complete(ctx, key, id, ledger.Answer{Status: 200, Body: []byte(id.String())})
	})
}

// keysRunTwice returns a description of each key that ran more than once, and the
// number of keys that ran.
func (r *recorder) keysRunTwice() (twice []string, ran int) {
	r.runs.Range(func(key, count any) bool {
		ran++
		if n := count.(*atomic.Int64).Load(); n > 1 {
			twice = append(twice, fmt.Sprintf("%s ran %d times", key, n))
		}
		return true
	})
	return twice, ran
}
