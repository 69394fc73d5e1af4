// Package eventlog writes a daemon's log as JSON lines without blocking requests.
// Lines that the output does not accept in time are dropped and counted, and each
// message has a budget of lines per second.
package eventlog

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
)

const (
	// maxQueuedLines bounds the lines queued for the output, about 300 KB.
	maxQueuedLines = 1024
	// linesPerSecond is the budget of each message; failuresPerSecond is the budget
	// for warnings and errors. A router of the largest known deployment completes
	// 20 requests per second.
	linesPerSecond    = 60
	failuresPerSecond = 300
	// flushTimeout bounds how long Close writes queued lines.
	flushTimeout = 300 * time.Millisecond
)

var (
	droppedLines    = metrics.GetOrCreateCounter("peridotwinch_log_lines_dropped_total")
	overBudgetLines = metrics.GetOrCreateCounter("peridotwinch_log_lines_over_budget_total")
)

// Writer is a non-blocking io.Writer that queues lines for an output that may be
// slow. It drops lines while the queue is full.
type Writer struct {
	lines   chan []byte
	dropped atomic.Uint64
	done    chan struct{}
}

// NewWriter returns a Writer that writes queued lines to out.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go func() {
		defer close(w.done)
		for line := range w.lines {
			if _, err := out.Write(line); err != nil {
				droppedLines.Inc()
			}
		}
	}()
	return w
}

// Write implements io.Writer. It never blocks and never fails; it drops the line if
// the queue is full.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
		droppedLines.Inc()
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped because the queue was full.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Close writes the queued lines, for at most flushTimeout. Write must not be called
// after Close.
func (w *Writer) Close() {
	close(w.lines)
	select {
	case <-w.done:
	case <-time.After(flushTimeout):
	}
}

// Budget is a zerolog hook that limits the lines per second of each message.
type Budget struct {
	mu            sync.Mutex
	start         time.Time
	currentSecond int64
	spent         map[string]int
	// overBudget counts, per message, the lines of the current second that were
	// discarded; lastOverBudget holds the counts of the last second with lines.
	overBudget     map[string]int
	lastOverBudget map[string]int
}

// NewBudget returns a Budget whose seconds are counted from start.
func NewBudget(start time.Time) *Budget {
	return &Budget{start: start, spent: make(map[string]int), overBudget: make(map[string]int)}
}

// Run implements zerolog.Hook. It discards lines that are over budget. The first line
// of a message after a second with discarded lines carries their number.
func (b *Budget) Run(e *zerolog.Event, level zerolog.Level, message string) {
	limit := linesPerSecond
	if level >= zerolog.WarnLevel {
		limit = failuresPerSecond
	}
	allowed, discarded := b.spend(message, limit, time.Since(b.start))
	if !allowed {
		overBudgetLines.Inc()
		e.Discard()
		return
	}
	if discarded > 0 {
		e.Int("leftOutBefore", discarded)
	}
}

// spend charges one line of the message to the second that elapsed falls in. It reports
// whether the line is within the limit, and how many lines of the message were discarded
// in the previous second with lines; that count is returned at most once.
func (b *Budget) spend(message string, limit int, elapsed time.Duration) (allowed bool, discarded int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if second := int64(elapsed / time.Second); second != b.currentSecond {
		b.currentSecond = second
		clear(b.spent)
		b.lastOverBudget, b.overBudget = b.overBudget, make(map[string]int)
	}
	if b.spent[message] >= limit {
		b.overBudget[message]++
		return false, 0
	}
	b.spent[message]++
	discarded = b.lastOverBudget[message]
	delete(b.lastOverBudget, message)
	return true, discarded
}
