// Package explain joins the log lines of several daemons into the trace of one request.
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
	// maxLineBytes bounds the length of a log line.
	maxLineBytes = 1 << 20
	fieldRequest = "requestId"
	fieldTime    = "time"
	fieldMessage = "message"
)

// omittedFields are not listed as fields: the printed line starts with their values, or
// they are not about the request.
var omittedFields = []string{fieldRequest, fieldTime, fieldMessage, "level", "instance", "failureDomain", "leftOutBefore"}

// Line is a log line about a request.
type Line struct {
	Time     time.Time
	Instance string
	Message  string
	Fields   map[string]any
	// readOrder is the position in which the line was read; it orders lines of equal time.
	readOrder int
}

// Trace holds the log lines of one request.
type Trace struct {
	ID    string
	Lines []Line
	// DroppedLines counts the lines that daemons discarded over budget shortly before lines
	// of the request. If it is above 0, lines of the request may be missing.
	DroppedLines int
}

// Read adds the request's lines from a log. It skips text before a line's JSON, such as
// the time and name that a log collector adds, and lines without valid JSON.
func (t *Trace) Read(log io.Reader) error {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		text := scanner.Text()
		jsonStart := strings.IndexByte(text, '{')
		if jsonStart < 0 || !strings.Contains(text, t.ID) {
			continue
		}
		fields := make(map[string]any)
		if err := json.Unmarshal([]byte(text[jsonStart:]), &fields); err != nil || fields[fieldRequest] != t.ID {
			continue
		}
		t.add(fields)
	}
	return errors.Wrap(scanner.Err(), "read a log")
}

func (t *Trace) add(fields map[string]any) {
	line := Line{Fields: fields, Instance: text(fields["instance"]), Message: text(fields[fieldMessage]), readOrder: len(t.Lines)}
	// A line without a valid time gets the zero time and sorts first.
	line.Time, _ = time.Parse(time.RFC3339Nano, text(fields[fieldTime]))
	if dropped, ok := fields["leftOutBefore"].(float64); ok {
		t.DroppedLines += int(dropped)
	}
	t.Lines = append(t.Lines, line)
}

func text(value any) string {
	if value == nil {
		return ""
	}
	return fmt.Sprint(value)
}

// Sort orders the lines by time, and lines of equal time by the order of reading.
func (t *Trace) Sort() {
	slices.SortStableFunc(t.Lines, func(a, b Line) int {
		if c := a.Time.Compare(b.Time); c != 0 {
			return c
		}
		return a.readOrder - b.readOrder
	})
}

// Print sorts the trace and writes it, one line per event, followed by the conclusion.
func (t *Trace) Print(out io.Writer) error {
	t.Sort()
	for _, line := range t.Lines {
		if _, err := fmt.Fprintf(out, "%s  %-16s  %s%s\n", line.Time.Format("15:04:05.000"), line.Instance, line.Message, fieldList(line.Fields)); err != nil {
			return errors.Wrap(err, "print the trace")
		}
	}
	if t.DroppedLines > 0 {
		if _, err := fmt.Fprintf(out, "the daemons dropped %d log lines over budget shortly before\n", t.DroppedLines); err != nil {
			return errors.Wrap(err, "print the trace")
		}
	}
	_, err := fmt.Fprintf(out, "%s: %s\n", t.ID, t.Conclusion())
	return errors.Wrap(err, "print the trace")
}

func fieldList(fields map[string]any) string {
	var out strings.Builder
	names := make([]string, 0, len(fields))
	for name := range fields {
		if !slices.Contains(omittedFields, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		fmt.Fprintf(&out, "  %s=%v", name, fields[name])
	}
	return out.String()
}

// Conclusion describes the outcome of the request in one sentence, from its last line.
func (t *Trace) Conclusion() string {
	if len(t.Lines) == 0 {
		return "no line of these logs names the request"
	}
	last := t.Lines[len(t.Lines)-1]
	cause := text(last.Fields["cause"])
	switch last.Message {
	case "request refused":
		return "refused, and no server has run it: " + cause
	case "request failed":
		return fmt.Sprintf("failed after it may have run on %s: %s", t.lastServer(), cause)
	case "stream cut":
		return fmt.Sprintf("the stream was cut after event %q from %s: %s", text(last.Fields["lastEvent"]), t.lastServer(), cause)
	case "answer cut":
		return fmt.Sprintf("the answer was cut after a part of it from %s: %s", t.lastServer(), cause)
	case "stream complete":
		return fmt.Sprintf("answered by %s: first event after %v ms, longest pause %v ms, last event %q",
			t.lastServer(), last.Fields["first"], last.Fields["longestPause"], text(last.Fields["lastEvent"]))
	case "request answered", "server failed the request":
		return fmt.Sprintf("answered by %s with status %v after %v ms", t.lastServer(), last.Fields["status"], last.Fields["took"])
	case "caller left":
		return fmt.Sprintf("the caller left after %v ms", last.Fields["total"])
	}
	return "the logs end with: " + last.Message
}

// lastServer returns the server of the last line that has one.
func (t *Trace) lastServer() string {
	for i := len(t.Lines) - 1; i >= 0; i-- {
		if server := text(t.Lines[i].Fields["server"]); server != "" {
			return server
		}
	}
	return "no server"
}
