package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/backend"
	"peridotwinch.example/peridotwinch/internal/bytebudget"
	"peridotwinch.example/peridotwinch/internal/placement"
)

const (
	streamBufferBytes = 8 << 10
	// maxEventBytes bounds an incomplete event.
	maxEventBytes = 1 << 20
)

// streamState is the caller's side of a streamed answer, across all servers that produce it.
type streamState struct {
	headSent bool
	writer   *eventWriter
	// lastID is the ID of the last event that was forwarded.
	lastID string
	// partial is the received part of an incomplete event, and memory its share of the budget.
	partial []byte
	memory  *bytebudget.Share
	// firstAt is when the first event was forwarded, lastAt when the latest one was.
	firstAt, lastAt time.Time
	longestPause    time.Duration
	// answering reports whether the present server has sent an event.
	answering bool
	// intervalEvents counts the events since intervalStart, up to eventsPerInterval.
	intervalEvents int
	intervalStart  time.Time
}

// promptKey returns the placement key of a prompt for the log; empty if it has none.
func promptKey(parts []placement.PromptPart) string {
	request := placement.Request{Parts: parts}
	key, known := request.Key()
	if !known {
		return ""
	}
	return strconv.FormatUint(key, 16)
}

// promptPartIDs returns the IDs of a prompt's parts in order, separated by commas, for the log.
func promptPartIDs(parts []placement.PromptPart) string {
	var out []byte
	for i, part := range parts {
		if i > 0 {
			out = append(out, ',')
		}
		out = strconv.AppendUint(out, part.ID, 16)
	}
	return string(out)
}

func totalTokens(parts []placement.PromptPart) (sum int) {
	for _, part := range parts {
		sum += part.Tokens
	}
	return sum
}

func isEventStream(ex *backend.Exchange) bool {
	return ex.StatusCode == http.StatusOK && strings.HasPrefix(ex.Header.Get("Content-Type"), "text/event-stream")
}

// relayStream forwards a stream in whole events, so that another server can resume it after
// the last forwarded event.
func (c *call) relayStream(ctx context.Context, guard *stallGuard, ex *backend.Exchange, lease *lease) *failure {
	if c.stream == nil {
		c.stream = &streamState{memory: c.gateway.answerMemory.Share(), writer: newEventWriter(c.w, mergeInterval(c.gateway.transitLimit, c.route.PauseObjective))}
	} else if c.stream.headSent {
		c.gateway.metrics.streamsResumed.Inc()
	}
	c.stream.partial, c.stream.intervalEvents, c.stream.answering = nil, 0, false
	defer c.stream.memory.Release()
	err := c.relayEvents(ctx, guard, ex, lease)
	// A stream without a length ends with its connection. Before the first event, only a
	// server that failed ends it.
	if err == nil && (len(c.stream.partial) > 0 || !ex.IsFramed() && !c.stream.answering) {
		err = io.ErrUnexpectedEOF
	}
	if err == nil {
		ex.Close(true)
		lease.release(placement.Result{Kind: placement.ResultAnswered})
		if !c.stream.headSent {
			c.writeHead(ex)
		}
		c.gateway.metrics.recordOutcome(c, "answered")
		c.logAttempt(lease).Dur("first", c.stream.firstAt.Sub(c.receivedAt)).Dur("longestPause", c.stream.longestPause).
			Str("lastEvent", c.stream.lastID).Dur("total", time.Since(c.receivedAt)).Msg("stream complete")
		return nil
	}
	ex.Close(false)
	if c.ctx.Err() != nil {
		lease.release(placement.Result{Kind: placement.ResultUnknown})
		return &failure{err: c.contextError(context.Cause(c.ctx))}
	}
	lease.release(lossResult(err))
	c.logAttempt(lease).Str("lastEvent", c.stream.lastID).Dur("longestPause", c.stream.longestPause).Err(err).Msg("stream broken")
	return &failure{
		err:        api.Errorf(api.CodeStreamBroken, "stream from %s broke after event %q: %v", lease.id, c.stream.lastID, err),
		lostServer: !c.stream.answering && c.recordLoss(lease, err),
	}
}

// relayEvents forwards the stream's events until its end.
func (c *call) relayEvents(ctx context.Context, guard *stallGuard, ex *backend.Exchange, lease *lease) error {
	buffer := make([]byte, streamBufferBytes)
	for {
		n, err := ex.Body.Read(buffer)
		if n > 0 {
			guard.recordProgress()
			if writeErr := c.forwardEvents(ex, lease, buffer[:n]); writeErr != nil {
				return writeErr
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return contextCause(ctx, err)
		}
	}
}

// streamStarted reports whether a part of a stream was forwarded to the caller.
func (c *call) streamStarted() bool { return c.stream != nil && c.stream.headSent }

// answerStarted reports whether a part of an answer was forwarded to the caller.
func (c *call) answerStarted() bool { return c.forwarding || c.streamStarted() }

// closeStream ends the use of the caller's writer by the stream, if there is one.
func (c *call) closeStream() {
	if c.stream != nil {
		c.stream.writer.close()
	}
}

// forwardEvents forwards the complete events in the received data and keeps the rest in partial.
func (c *call) forwardEvents(ex *backend.Exchange, lease *lease, data []byte) error {
	s := c.stream
	if !s.memory.Resize(len(s.partial) + len(data)) {
		return errors.New("incomplete stream events exceed the memory limit")
	}
	s.partial = append(s.partial, data...)
	end := bytes.LastIndex(s.partial, []byte("\n\n"))
	if end < 0 {
		if len(s.partial) > maxEventBytes {
			return errors.New("stream event exceeds the size limit")
		}
		return nil
	}
	complete := s.partial[:end+2]
	if !s.answering {
		s.answering = true
		c.recordAnswer()
	}
	if !s.headSent {
		c.writeHead(ex)
	}
	s.recordEventTime(time.Now(), lease)
	if id := lastEventID(complete); id != "" {
		s.lastID = id
	}
	err := s.writer.write(complete)
	s.partial = append(s.partial[:0], s.partial[end+2:]...)
	if cap(s.partial) > bytebudget.FreeBytes {
		s.partial = slices.Clone(s.partial)
	}
	return callerError(err)
}

// eventsPerInterval is the number of event intervals whose mean is recorded at once.
const eventsPerInterval = 8

func (s *streamState) recordEventTime(now time.Time, lease *lease) {
	if s.firstAt.IsZero() {
		s.firstAt = now
	} else {
		s.longestPause = max(s.longestPause, now.Sub(s.lastAt))
	}
	s.lastAt = now
	if s.intervalEvents == 0 {
		s.intervalStart = now
	}
	if s.intervalEvents++; s.intervalEvents > eventsPerInterval {
		lease.recordEventInterval(now.Sub(s.intervalStart) / eventsPerInterval)
		s.intervalEvents = 0
	}
}

// writeHead writes the first server's status and headers to the caller.
func (c *call) writeHead(ex *backend.Exchange) {
	c.stream.headSent = true
	c.copyAnswerHeader(ex.Header)
	c.w.WriteHeader(ex.StatusCode)
	c.gateway.metrics.recordFirstByte(c.kindLabel(), time.Since(c.receivedAt))
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
