package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/backend"
	"peridotwinch.example/peridotwinch/internal/placement"
)

const (
	streamBufferBytes = 8 << 10
	// maxEventBytes bounds an event that has not ended yet.
	maxEventBytes = 1 << 20
	// stallPauses and stallLeast are the silence after which a stream that may go
	// on elsewhere does so: callers give up after eight of the longest pauses of
	// their route, and after two seconds at the earliest.
	stallPauses = 4
	stallLeast  = 1200 * time.Millisecond
)

// relay is the caller's side of a streamed answer, over all servers that write it.
type relay struct {
	started bool
	// lastID is the ID of the last event that was passed on.
	lastID string
	// partial is the begin of an event that has not ended yet.
	partial []byte
	// first is when the first event was passed on, last the newest one.
	first, last  time.Time
	longestPause time.Duration
	// paced counts the events since pacedFrom.
	paced     int
	pacedFrom time.Time
}

// promptKey returns what the prompt is placed by, as the log shows it.
func promptKey(parts []placement.PromptPart) string {
	request := placement.Request{Parts: parts}
	key, known := request.Key()
	if !known {
		return ""
	}
	return strconv.FormatUint(key, 16)
}

func tokensOf(parts []placement.PromptPart) (sum int) {
	for _, part := range parts {
		sum += part.Tokens
	}
	return sum
}

func isEventStream(ex *backend.Exchange) bool {
	return ex.StatusCode == http.StatusOK && strings.HasPrefix(ex.Header.Get("Content-Type"), "text/event-stream")
}

// relay passes a stream on, event by event, so that another server can go on after
// the last whole one.
func (c *call) relay(ctx context.Context, ex *backend.Exchange, lease *lease) *failure {
	if c.stream == nil {
		c.stream = &relay{}
	} else if c.stream.started {
		c.gateway.metrics.resumed.Inc()
	}
	c.stream.partial, c.stream.paced = nil, 0
	err := c.passEvents(ctx, ex, lease)
	if err == nil && len(c.stream.partial) > 0 {
		err = io.ErrUnexpectedEOF
	}
	if err == nil {
		ex.Close(true)
		lease.end(placement.Result{Kind: placement.ResultAnswered})
		if !c.stream.started {
			c.begin(ex)
		}
		c.gateway.metrics.outcome(c, "answered")
		c.logAttempt(lease).Dur("first", c.stream.first.Sub(c.begun)).Dur("longestPause", c.stream.longestPause).
			Str("lastEvent", c.stream.lastID).Dur("total", time.Since(c.begun)).Msg("stream complete")
		return nil
	}
	ex.Close(false)
	if c.ctx.Err() != nil {
		lease.end(placement.Result{Kind: placement.ResultUnknown})
		return &failure{err: c.timeError(context.Cause(c.ctx))}
	}
	lease.end(placement.Result{Kind: placement.ResultLost})
	c.logAttempt(lease).Str("lastEvent", c.stream.lastID).Dur("longestPause", c.stream.longestPause).Err(err).Msg("stream broken")
	return &failure{err: api.Errorf(api.CodeStreamBroken, "%s after event %q: %v", lease.id, c.stream.lastID, err)}
}

// passEvents reads the stream to its end.
func (c *call) passEvents(ctx context.Context, ex *backend.Exchange, lease *lease) error {
	stall := c.watchStall(ex)
	defer stall.Stop()
	buffer := make([]byte, streamBufferBytes)
	for {
		n, err := ex.Body.Read(buffer)
		if n > 0 {
			stall.Reset(c.stallLimit())
			if writeErr := c.passBytes(ex, lease, buffer[:n]); writeErr != nil {
				return writeErr
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return cause(ctx, err)
		}
	}
}

// watchStall gives a stream up that has been silent for too long.
func (c *call) watchStall(ex *backend.Exchange) *time.Timer {
	return time.AfterFunc(c.stallLimit(), func() {
		if c.route.Resumable && c.attempts < c.route.MaxServers {
			ex.Abort()
		}
	})
}

func (c *call) stallLimit() time.Duration {
	return max(stallLeast, stallPauses*c.route.LongestPause)
}

// passBytes passes the whole events on.
func (c *call) passBytes(ex *backend.Exchange, lease *lease, data []byte) error {
	s := c.stream
	s.partial = append(s.partial, data...)
	end := bytes.LastIndex(s.partial, []byte("\n\n"))
	if end < 0 {
		if len(s.partial) > maxEventBytes {
			return errors.New("an event is too large")
		}
		return nil
	}
	whole := s.partial[:end+2]
	if !s.started {
		c.begin(ex)
	}
	s.noteTime(time.Now(), lease)
	if id := lastEventID(whole); id != "" {
		s.lastID = id
	}
	if _, err := c.w.Write(whole); err != nil {
		return errors.Wrap(err, "write to the caller")
	}
	s.partial = append(s.partial[:0], s.partial[end+2:]...)
	return errors.Wrap(http.NewResponseController(c.w).Flush(), "write to the caller")
}

// paceEvents is the number of events after which a stream's pace is noted.
const paceEvents = 8

func (s *relay) noteTime(now time.Time, lease *lease) {
	if s.first.IsZero() {
		s.first = now
	} else {
		s.longestPause = max(s.longestPause, now.Sub(s.last))
	}
	s.last = now
	if s.paced == 0 {
		s.pacedFrom = now
	}
	if s.paced++; s.paced > paceEvents {
		lease.paced(now.Sub(s.pacedFrom) / paceEvents)
		s.paced = 0
	}
}

// begin sends the head of the first server's answer.
func (c *call) begin(ex *backend.Exchange) {
	c.stream.started = true
	copyAnswerHeader(c.w.Header(), ex.Header)
	c.w.WriteHeader(ex.StatusCode)
	c.gateway.metrics.answered(c.kind(), time.Since(c.begun))
}

// lastEventID returns the ID of the last event that has one.
func lastEventID(events []byte) string {
	at := bytes.LastIndex(events, []byte("\nid:"))
	if at >= 0 {
		at++
	} else if !bytes.HasPrefix(events, []byte("id:")) {
		return ""
	} else {
		at = 0
	}
	line, _, _ := bytes.Cut(events[at+len("id:"):], []byte("\n"))
	return string(bytes.TrimSpace(line))
}
