package slotshare

import "time"

const (
	// maxPatience and patienceShare bound how long a router waits for the first answer of a
	// coordinator: 40 ms, or a tenth of the request's objective. A router whose process gets a
	// fifth of a core may be stopped for tens of milliseconds at a time.
	maxPatience   = 40 * time.Millisecond
	patienceShare = 10
)

// Patience returns how long a request with an objective, or without one if it is 0, waits for the
// first answer of a coordinator before its router decides alone.
func Patience(objective time.Duration) time.Duration {
	if objective <= 0 {
		return maxPatience
	}
	return min(maxPatience, objective/patienceShare)
}

const (
	// pingInterval is the time between two pings of a coordinator that did not answer in time.
	pingInterval = 100 * time.Millisecond
	// A coordinator that is lost again within steadyTime is not used for firstPause, and for twice
	// as long after each further loss, up to maxPause. Its waiting requests all go to the servers
	// at each loss: in a model at high load, a coordinator that was stopped for 60 ms of each
	// 200 ms made 9.9% of the requests late or refused without the pause, and routers without a
	// coordinator 8.4%.
	steadyTime = 10 * time.Second
	firstPause = 2 * time.Second
	maxPause   = time.Minute
)

// Monitor decides whether a router uses its stream to the coordinator. It is not safe for
// concurrent use; the zero value is a stream that was not tried yet, which is not used.
type Monitor struct {
	// PongLimit is how long the answer to a ping may take; 40 ms if it is 0.
	PongLimit time.Duration

	usable   bool
	usableAt time.Time
	pingedAt time.Time
	pings    uint64
	// ponged is the number of the last ping that was answered.
	ponged uint64
	// pause is the time without pings after the last loss, until pausedUntil.
	pause       time.Duration
	pausedUntil time.Time
}

// Lost records that the stream ended, or that the coordinator did not answer in time. Requests are
// not sent to the coordinator until a ping is answered in time: each of them would otherwise wait
// in vain.
func (m *Monitor) Lost(now time.Time) {
	if !m.usable {
		return
	}
	m.usable = false
	if now.Sub(m.usableAt) > steadyTime {
		m.pause = 0
		return
	}
	m.pause = min(max(2*m.pause, firstPause), maxPause)
	m.pausedUntil = now.Add(m.pause)
}

// IsUsable reports whether the coordinator answered the last question in time.
func (m *Monitor) IsUsable() bool { return m.usable }

// Ping returns the number of the ping that is to be sent now, or 0 if none is due.
func (m *Monitor) Ping(now time.Time) uint64 {
	if m.usable || now.Before(m.pausedUntil) || now.Sub(m.pingedAt) < pingInterval {
		return 0
	}
	m.pingedAt = now
	m.pings++
	return m.pings
}

// KeepAlive returns the number of the ping that is to be sent now while requests wait at a
// coordinator that is used, or 0 if none is due. A process that is stopped is noticed by it.
func (m *Monitor) KeepAlive(now time.Time) uint64 {
	if !m.usable || m.ponged != m.pings || now.Sub(m.pingedAt) < pingInterval {
		return 0
	}
	m.pingedAt = now
	m.pings++
	return m.pings
}

// IsOverdue reports whether a coordinator that is used has not answered a ping in time.
func (m *Monitor) IsOverdue(now time.Time) bool {
	return m.usable && m.ponged != m.pings && now.Sub(m.pingedAt) > m.pongLimit()
}

func (m *Monitor) pongLimit() time.Duration {
	if m.PongLimit > 0 {
		return m.PongLimit
	}
	return maxPatience
}

// Pong records the answer to a ping, and reports whether the coordinator is used again with it. An
// answer that comes late is that of a process that was stopped and may be stopped again.
func (m *Monitor) Pong(number uint64, now time.Time) bool {
	if number != m.pings {
		return false
	}
	m.ponged = number
	if m.usable || now.Sub(m.pingedAt) > m.pongLimit() {
		return false
	}
	m.usable, m.usableAt = true, now
	return true
}

// IsPaused reports whether no ping is sent for some time because the coordinator was lost again
// soon.
func (m *Monitor) IsPaused(now time.Time) bool { return !m.usable && now.Before(m.pausedUntil) }
