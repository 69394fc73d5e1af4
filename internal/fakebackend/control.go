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

// Faults tells a stand-in how to fail. A POST to /control replaces all faults;
// an empty object ends them.
type Faults struct {
	// Stall stops all answers, streams included, without closing connections.
	Stall bool `json:"stall,omitempty"`
	// StallAfterTokens stops each stream after so many tokens.
	StallAfterTokens int `json:"stallAfterTokens,omitempty"`
	// DelayMS holds each answer back by so many milliseconds.
	DelayMS int `json:"delayMs,omitempty"`
	// CloseAfterTokens closes the connection of each stream after so many tokens.
	CloseAfterTokens int `json:"closeAfterTokens,omitempty"`
	// CloseBeforeAnswer runs each request and closes the connection unanswered.
	CloseBeforeAnswer bool `json:"closeBeforeAnswer,omitempty"`
	// Refuse refuses each request as not run.
	Refuse bool `json:"refuse,omitempty"`
	// SlowFactor makes work take so many times as long; zero counts as 1.
	SlowFactor float64 `json:"slowFactor,omitempty"`
}

// faultSwitch holds the present faults. It is safe for concurrent use.
type faultSwitch struct {
	mu     sync.Mutex
	faults Faults
	// changed is closed when the faults change.
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

// next returns the present faults and a channel that is closed when they change.
func (f *faultSwitch) next() (Faults, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.changed == nil {
		f.changed = make(chan struct{})
	}
	return f.faults, f.changed
}

// hold waits while answers are stalled; written is the number of tokens that the
// stream has. It reports false where the caller left first.
func (f *faultSwitch) hold(r *http.Request, written int) bool {
	for {
		faults, changed := f.next()
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

// beforeAnswer applies the faults that come before an answer's first byte. It
// reports false where there will be no answer.
func (f *faultSwitch) beforeAnswer(r *http.Request) bool {
	faults := f.get()
	if faults.CloseBeforeAnswer {
		panic(http.ErrAbortHandler)
	}
	if faults.DelayMS > 0 && !actor.Sleep(r.Context(), time.Duration(faults.DelayMS)*time.Millisecond) {
		return false
	}
	return f.hold(r, 0)
}

// betweenTokens applies the faults that hit a stream that has written tokens.
func (f *faultSwitch) betweenTokens(r *http.Request, written int) bool {
	if limit := f.get().CloseAfterTokens; limit > 0 && written >= limit {
		panic(http.ErrAbortHandler)
	}
	return f.hold(r, written)
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	faults := Faults{}
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&faults); err != nil {
		httpx.WriteError(w, api.Errorf(api.CodeRequestInvalid, "%v", err))
		return
	}
	s.faults.set(faults)
	httpx.WriteJSON(w, http.StatusOK, &faults)
}

func (s *Server) showFaults(w http.ResponseWriter, _ *http.Request) {
	faults := s.faults.get()
	httpx.WriteJSON(w, http.StatusOK, &faults)
}
