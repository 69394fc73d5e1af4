package platform

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

const (
	headerLimit = "Server-Limit"
	// limitWindow, limitFactor and limitExtra bound the requests that a worker with a limit gets:
	// in any window at most limitFactor times those that the limit allows, and limitExtra more.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitExtra  = 5
	// limitNewsAge is how long ago a router must have passed on an answer with the limit for its
	// requests to count.
	limitNewsAge = 500 * time.Millisecond
	// limitTurn is how often the soak looks for workers that name no limit after a restart.
	limitTurn = 50 * time.Millisecond
	// unlimitedRequests are the fewest requests that a worker gets in unlimitedDuration if its
	// answers name nothing but invalid values.
	unlimitedRequests = 50
	unlimitedDuration = 5 * time.Second
)

// invalidLimits are values that name no limit and do not end one either.
var invalidLimits = []string{"", "many", "NaN", "Inf", "-1", "1e999", "0x1p4", "2.5 per second"}

// limitPattern is how a worker names its limit.
type limitPattern struct {
	name string
	// highest is the highest limit, in requests a second, that the answers name; it is infinite if
	// they name none.
	highest float64
	// values returns the fields of an answer, and whether one of them is valid.
	values func() (fields []string, valid bool)
}

func newLimitPattern(rng *rand.Rand) *limitPattern {
	rate := []float64{0, 0.5, 1, 2.6, 5, 12.5}[rng.IntN(6)]
	text := strconv.FormatFloat(rate, 'f', -1, 64)
	invalid := func() string { return invalidLimits[rand.IntN(len(invalidLimits))] }
	switch rng.IntN(6) {
	case 0:
		return &limitPattern{"invalid values", math.Inf(1), func() ([]string, bool) { return []string{invalid()}, false }}
	case 1:
		return &limitPattern{"some values invalid", rate, func() ([]string, bool) {
			if rand.IntN(2) == 0 {
				return []string{invalid()}, false
			}
			return []string{text}, true
		}}
	case 2:
		return &limitPattern{"several fields", rate, func() ([]string, bool) {
			fields := []string{text, fmt.Sprint(rate + 20), "10001", invalid()}
			rand.Shuffle(len(fields), func(i, j int) { fields[i], fields[j] = fields[j], fields[i] })
			return fields, true
		}}
	case 3:
		return &limitPattern{"another value in each answer", rate, func() ([]string, bool) {
			return []string{strconv.FormatFloat(rate*(0.5+rand.Float64()/2), 'f', 3, 64)}, true
		}}
	default:
		return &limitPattern{"one value", rate, func() ([]string, bool) { return []string{text}, true }}
	}
}

// limitArrival is a request that counts against a limit.
type limitArrival struct {
	router string
	at     time.Time
	// misdirected is set if the request names another worker.
	misdirected bool
}

// workerLimit is the limit that an incarnation of a worker names, and the requests against it.
type workerLimit struct {
	*limitPattern
	startedAt time.Time
	// firstNamed is when the first answer with a valid value was complete.
	firstNamed time.Time
	// passedOn is when each router got its first complete answer with a valid value after its last fault.
	passedOn map[string]time.Time
	arrivals []limitArrival
	received int
	// worst is the highest count of a window, and worstDetails says what it consists of.
	worst        int
	worstDetails string
	// endedAt is when the worker stopped to name the limit, and receivedAfter counts the requests since then.
	endedAt       time.Time
	receivedAfter int
}

// setLimit has the answers of this incarnation name a limit, unless they do already.
func (w *worker) setLimit(newPattern func() *limitPattern) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.limit == nil && !w.down {
		w.limit = &workerLimit{limitPattern: newPattern(), startedAt: time.Now(), passedOn: make(map[string]time.Time)}
	}
}

// endLimit ends the limit, and returns what came of it; nil if there is none.
func (w *worker) endLimit() *workerLimit {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.limit != nil {
		w.reportLimit()
		w.limit.endedAt = time.Now()
	}
	return w.limit
}

// limitFields returns the fields for the next answer. If one of them is valid, named is to be
// called once the answer is complete.
func (w *worker) limitFields(r *http.Request) (fields []string, named func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	limit := w.limit
	if limit == nil || !limit.endedAt.IsZero() {
		return nil, func() {}
	}
	fields, valid := limit.values()
	return fields, func() {
		if valid {
			w.recordNamed(limit, r.Header.Get(headerRouter))
		}
	}
}

// limitLines returns the fields for the next answer as lines of its head.
func (w *worker) limitLines(r *http.Request) (lines string, named func()) {
	fields, named := w.limitFields(r)
	for _, field := range fields {
		lines += headerLimit + ": " + field + "\r\n"
	}
	return lines, named
}

// recordNamed records that a complete answer has named a limit to a router.
func (w *worker) recordNamed(limit *workerLimit, router string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if limit.firstNamed.IsZero() {
		limit.firstNamed = now
	}
	if faulty, faultAt := w.routerFault(router); !faulty && !limit.passedOn[router].After(faultAt) {
		limit.passedOn[router] = now
	}
}

// countRequest counts a request that has arrived on a connection out of the server's hands.
func (w *worker) countRequest(r *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.checkLimit(r)
}

// checkLimit counts a request against the limit; mu is held.
func (w *worker) checkLimit(r *http.Request) {
	limit, router, now := w.limit, r.Header.Get(headerRouter), time.Now()
	switch {
	case limit == nil || router == "":
		return
	case !limit.endedAt.IsZero():
		limit.receivedAfter++
		return
	}
	limit.received++
	if limit.firstNamed.IsZero() || now.Sub(limit.firstNamed) < soakContact {
		return
	}
	misdirected := w.refusalStatus(r) == http.StatusMisdirectedRequest
	limit.arrivals = append(limit.arrivals, limitArrival{router: router, at: now, misdirected: misdirected})
	for len(limit.arrivals) > 0 && now.Sub(limit.arrivals[0].at) > limitWindow {
		limit.arrivals = limit.arrivals[1:]
	}
	boundSince := make(map[string]time.Time)
	for router := range limit.passedOn {
		if since, bound := limit.boundSince(w, router); bound {
			boundSince[router] = since
		}
	}
	counts := make(map[string]int)
	total, forOthers := 0, 0
	for _, arrival := range limit.arrivals {
		since, bound := boundSince[arrival.router]
		if !bound || arrival.at.Before(since) {
			continue
		}
		counts[arrival.router]++
		total++
		if arrival.misdirected {
			forOthers++
		}
	}
	if total > limit.worst {
		limit.worst, limit.worstDetails = total, fmt.Sprintf("%d of them for another ID; by router: %v", forOthers, counts)
	}
}

// reportLimit reports if there were too many requests against the limit; mu is held.
func (w *worker) reportLimit() {
	limit := w.limit
	if limit == nil || !limit.endedAt.IsZero() {
		return
	}
	if allowed := limitFactor*limit.highest*limitWindow.Seconds() + limitExtra; float64(limit.worst) > allowed {
		w.onLimitBroken("%s named a limit (%s) of up to %v a second and got %d requests within %v, allowed are %v; %s",
			w.id, limit.name, limit.highest, limit.worst, limitWindow, allowed, limit.worstDetails)
	}
}

// boundSince returns since when the requests of a router count: from limitNewsAge after it had
// passed on an answer with the limit. A fault since then excuses the router.
func (l *workerLimit) boundSince(w *worker, router string) (since time.Time, bound bool) {
	faulty, faultAt := w.routerFault(router)
	passedOn := l.passedOn[router]
	return passedOn.Add(limitNewsAge), !faulty && passedOn.After(faultAt)
}

// routerFault returns whether a router is under a fault, and when its last fault began or ended.
func (s *soak) routerFault(router string) (faulty bool, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range []string{router, router + " relay"} {
		faulty = faulty || s.faulty[name]
		if s.faultAt[name].After(at) {
			at = s.faultAt[name]
		}
	}
	return faulty, at
}

// startLimits has a number of workers name limits until stop is called. A worker that has
// restarted names another one.
func (s *soak) startLimits(rng *rand.Rand, limited int) (stop func()) {
	stopped, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			for _, w := range s.workers[:limited] {
				w.setLimit(func() *limitPattern { return newLimitPattern(rng) })
			}
			select {
			case <-stopped:
				return
			case <-time.After(limitTurn):
			}
		}
	}()
	return func() { close(stopped); <-done }
}

// runWithLimits calls injectFaults while some workers, or all, name limits, and waits for the
// recovery. Unless all do, they name them for one more window after the recovery.
func (s *soak) runWithLimits(injectFaults func()) {
	limited := []int{1, 2, 2, len(s.workers)}[s.limitRNG.IntN(4)]
	stop := s.startLimits(s.limitRNG, limited)
	injectFaults()
	var ended map[*worker]*workerLimit
	if limited == len(s.workers) {
		stop()
		ended = s.endLimits()
		s.awaitRecovery()
	} else {
		s.awaitRecovery()
		time.Sleep(limitWindow + limitNewsAge)
		stop()
		ended = s.endLimits()
	}
	s.awaitUnlimited(ended)
}

// endLimits ends the limits that workers name, and checks those whose values were all invalid.
func (s *soak) endLimits() map[*worker]*workerLimit {
	ended := make(map[*worker]*workerLimit)
	for _, w := range s.workers {
		limit := w.endLimit()
		if limit == nil {
			continue
		}
		ended[w] = limit
		duration := limit.endedAt.Sub(limit.startedAt)
		s.t.Logf("%s named a limit (%s) of up to %v a second for %v and got %d requests", w.id, limit.name, limit.highest, duration, limit.received)
		if math.IsInf(limit.highest, 1) && duration > unlimitedDuration && limit.received < unlimitedRequests {
			s.reportViolation("%s named no valid limit for %v and got only %d requests", w.id, duration, limit.received)
		}
	}
	return ended
}

// awaitUnlimited waits until the workers that name a limit no longer get more requests than it
// allowed. A restart of the worker excuses it.
func (s *soak) awaitUnlimited(ended map[*worker]*workerLimit) {
	start := time.Now()
	for w, limit := range ended {
		if math.IsInf(limit.highest, 1) {
			continue
		}
		want := int(limitFactor*limit.highest*soakRecoveryTimeout.Seconds()) + limitExtra
		progress := func() (received int, isUsed bool) {
			w.mu.Lock()
			defer w.mu.Unlock()
			return limit.receivedAfter, w.limit != limit || limit.receivedAfter > want
		}
		for {
			received, isUsed := progress()
			if isUsed {
				break
			}
			if time.Since(start) > soakRecoveryTimeout {
				s.reportViolation("%s got %d requests %v after the end of its limit (%s) of up to %v a second, more than %d are expected",
					w.id, received, time.Since(limit.endedAt), limit.name, limit.highest, want)
				break
			}
			time.Sleep(limitTurn)
		}
	}
}
