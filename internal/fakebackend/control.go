package fakebackend

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/actor"
	"peridotwinch.example/peridotwinch/internal/httpx"
)

// Faults are the faults that a fake backend injects. A POST to /control replaces all
// faults; an empty object removes them.
type Faults struct {
	// Stall stops all answers, streams included, without closing connections.
	Stall bool `json:"stall,omitempty"`
	// StallAfterTokens stops each stream after this many tokens; zero disables it.
	StallAfterTokens int `json:"stallAfterTokens,omitempty"`
	// DelayMS delays each answer by this many milliseconds.
	DelayMS int `json:"delayMs,omitempty"`
	// CloseAfterTokens closes the connection of each stream after this many tokens; zero
	// disables it.
	CloseAfterTokens int `json:"closeAfterTokens,omitempty"`
	// CloseBeforeAnswer executes each request and closes the connection without an answer.
	CloseBeforeAnswer bool `json:"closeBeforeAnswer,omitempty"`
	// Refuse rejects each request with an error that marks it as not run.
	Refuse bool `json:"refuse,omitempty"`
	// RetryAfterMS is how long a rejected router is to send no other request, in
	// milliseconds; zero states nothing.
	RetryAfterMS int `json:"retryAfterMs,omitempty"`
	// SlowFactor multiplies the duration of work; zero counts as 1.
	SlowFactor float64 `json:"slowFactor,omitempty"`
}

// faultSwitch holds the current faults. It is safe for concurrent use.
type faultSwitch struct {
	mu     sync.Mutex
	faults Faults
	// changed is closed when the faults change; nil if no channel was requested.
	changed chan struct{}
}

func (f *faultSwitch) get() Faults {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults
}

func (f *faultSwitch) set(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
	if f.changed != nil {
		close(f.changed)
		f.changed = nil
	}
}

func (f *faultSwitch) refuses() bool { return f.get().Refuse }

func (f *faultSwitch) slowFactor() float64 {
	if factor := f.get().SlowFactor; factor > 0 {
		return factor
	}
	return 1
}

// getAndWatch returns the current faults and a channel that is closed when they change.
func (f *faultSwitch) getAndWatch() (Faults, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.changed == nil {
		f.changed = make(chan struct{})
	}
	return f.faults, f.changed
}

// waitWhileStalled blocks while answers are stalled; written is the number of tokens
// written to the stream. It returns false if the request is cancelled first.
func (f *faultSwitch) waitWhileStalled(r *http.Request, written int) bool {
	for {
		faults, changed := f.getAndWatch()
		stalled := faults.Stall || (faults.StallAfterTokens > 0 && written >= faults.StallAfterTokens)
		if !stalled {
			return r.Context().Err() == nil
		}
		select {
		case <-r.Context().Done():
			return false
		case <-changed:
		}
	}
}

// applyBeforeAnswer applies the faults that act before the first byte of an answer. It
// returns false if the request is cancelled, and panics with http.ErrAbortHandler to close
// the connection.
func (f *faultSwitch) applyBeforeAnswer(r *http.Request) bool {
	faults := f.get()
	if faults.CloseBeforeAnswer {
		panic(http.ErrAbortHandler)
	}
	if faults.DelayMS > 0 && !actor.Sleep(r.Context(), time.Duration(faults.DelayMS)*time.Millisecond) {
		return false
	}
	return f.waitWhileStalled(r, 0)
}

// applyBetweenTokens applies the faults that act on a stream after written tokens, with the
// same results as applyBeforeAnswer.
func (f *faultSwitch) applyBetweenTokens(r *http.Request, written int) bool {
	if limit := f.get().CloseAfterTokens; limit > 0 && written >= limit {
		panic(http.ErrAbortHandler)
	}
	return f.waitWhileStalled(r, written)
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	faults := Faults{}
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&faults); err != nil {
		httpx.WriteError(w, api.Errorf(api.CodeRequestInvalid, "decode the request body: %v", err))
		return
	}
	s.faults.set(faults)
	httpx.WriteJSON(w, http.StatusOK, &faults)
}

func (s *Server) showFaults(w http.ResponseWriter, _ *http.Request) {
	faults := s.faults.get()
	httpx.WriteJSON(w, http.StatusOK, &faults)
}
