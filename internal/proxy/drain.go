package proxy

import (
	"sort"
	"sync"
	"time"

	"github.com/pkg/errors"
)

var errAborted = errors.New("the router's shutdown aborted the request")

// callSet is the set of calls in progress. It is safe for concurrent use.
type callSet struct {
	mu    sync.Mutex
	calls map[*call]struct{}
}

func newCallSet() *callSet { return &callSet{calls: make(map[*call]struct{})} }

func (s *callSet) add(c *call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[c] = struct{}{}
}

func (s *callSet) remove(c *call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.calls, c)
}

// ids returns the request IDs of the calls in progress, sorted.
func (s *callSet) ids() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := make([]string, 0, len(s.calls))
	for c := range s.calls {
		ids = append(ids, c.id)
	}
	sort.Strings(ids)
	return ids
}

// len returns the number of calls in progress.
func (s *callSet) len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.calls)
}

// InProgress returns the number of requests in progress.
func (p *Proxy) InProgress() int { return p.activeCalls.len() }

// AnnounceDrain makes each answer close its connection, so that callers reconnect
// to other routers. Requests are served until lastAdmission, and then refused with
// CodeDraining: the shutdown would not leave them enough time.
func (p *Proxy) AnnounceDrain(lastAdmission time.Time) { p.lastAdmission.Store(&lastAdmission) }

// AbortRequests ends the requests in progress with an explicit error and returns
// their request IDs. Requests that have not been dispatched release their claims.
// Later requests are refused with CodeDraining.
func (p *Proxy) AbortRequests() []string {
	ids := p.activeCalls.ids()
	shutdownCutRequests.Add(len(ids))
	p.abort(errAborted)
	return ids
}
