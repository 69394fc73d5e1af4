// Package explain joins the log lines of several daemons into one request's story.
package explain

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxLineBytes bounds a line of a log.
	maxLineBytes = 1 << 20
	fieldRequest = "requestId"
	fieldTime    = "time"
	fieldMessage = "message"
)

// headFields stand at the front of a printed line or say nothing about the request.
var headFields = []string{fieldRequest, fieldTime, fieldMessage, "level", "instance", "failureDomain", "leftOutBefore"}

// Line is a log line about a request.
type Line struct {
	Time     time.Time
	Instance string
	Message  string
	Fields   map[string]any
	// order keeps lines of the same moment as they were read.
	order int
}

// Trace is what the logs say about a request.
type Trace struct {
	ID    string
	Lines []Line
	// DroppedLines counts lines that a daemon dropped before lines of the request: the
	// story may lack some.
	DroppedLines int
}

// Read adds the request's lines of a log. Whatever stands before a line's JSON, as a
// collector's time and name, is passed over, and so are lines without any.
func (s *Trace) Read(log io.Reader) error {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		text := scanner.Text()
		begin := strings.IndexByte(text, '{')
		if begin < 0 || !strings.Contains(text, s.ID) {
			continue
		}
		fields := make(map[string]any)
		if err := json.Unmarshal([]byte(text[begin:]), &fields); err != nil || fields[fieldRequest] != s.ID {
			continue
		}
		s.add(fields)
	}
	return errors.Wrap(scanner.Err(), "read a log")
}

func (s *Trace) add(fields map[string]any) {
	line := Line{Fields: fields, Instance: text(fields["instance"]), Message: text(fields[fieldMessage]), order: len(s.Lines)}
	// A line without a readable time keeps its place.
	line.Time, _ = time.Parse(time.RFC3339Nano, text(fields[fieldTime]))
	if missing, ok := fields["leftOutBefore"].(float64); ok {
		s.DroppedLines += int(missing)
	}
	s.Lines = append(s.Lines, line)
}

func text(value any) string {
	if value == nil {
		return ""
	}
	return fmt.Sprint(value)
}

// Sort brings the lines into the order of their times.
func (s *Trace) Sort() {
	slices.SortStableFunc(s.Lines, func(a, b Line) int {
		if c := a.Time.Compare(b.Time); c != 0 {
			return c
		}
		return a.order - b.order
	})
}

// Print writes the story, one line an event, and what became of the request.
func (s *Trace) Print(out io.Writer) error {
	s.Sort()
	for _, line := range s.Lines {
		if _, err := fmt.Fprintf(out, "%s  %-16s  %s%s\n", line.Time.Format("15:04:05.000"), line.Instance, line.Message, fieldList(line.Fields)); err != nil {
			return errors.Wrap(err, "print a story")
		}
	}
	if s.DroppedLines > 0 {
		if _, err := fmt.Fprintf(out, "the daemons left %d lines out shortly before\n", s.DroppedLines); err != nil {
			return errors.Wrap(err, "print a story")
		}
	}
	_, err := fmt.Fprintf(out, "%s: %s\n", s.ID, s.Conclusion())
	return errors.Wrap(err, "print a story")
}

func fieldList(fields map[string]any) string {
	var out strings.Builder
	names := make([]string, 0, len(fields))
	for name := range fields {
		if !slices.Contains(headFields, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		fmt.Fprintf(&out, "  %s=%v", name, fields[name])
	}
	return out.String()
}

// Conclusion says in a sentence what became of the request.
func (s *Trace) Conclusion() string {
	if len(s.Lines) == 0 {
		return "no line of these logs names the request"
	}
	last := s.Lines[len(s.Lines)-1]
	cause := text(last.Fields["cause"])
	switch last.Message {
	case "request refused":
		return "refused, and no server has run it: " + cause
	case "request failed":
		return fmt.Sprintf("failed after it may have run on %s: %s", s.lastServer(), cause)
	case "stream cut":
		return fmt.Sprintf("the stream was cut after event %q from %s: %s", text(last.Fields["lastEvent"]), s.lastServer(), cause)
	case "stream complete":
		return fmt.Sprintf("answered by %s: first event after %v ms, longest pause %v ms, last event %q",
			s.lastServer(), last.Fields["first"], last.Fields["longestPause"], text(last.Fields["lastEvent"]))
	case "request answered", "server failed the request":
		return fmt.Sprintf("answered by %s with status %v after %v ms", s.lastServer(), last.Fields["status"], last.Fields["took"])
	case "caller left":
		return fmt.Sprintf("the caller left after %v ms", last.Fields["total"])
	}
	return "the logs end with: " + last.Message
}

// lastServer returns the server of the newest line that names one.
func (s *Trace) lastServer() string {
	for i := len(s.Lines) - 1; i >= 0; i-- {
		if server := text(s.Lines[i].Fields["server"]); server != "" {
			return server
		}
	}
	return "no server"
}
