package load

import (
	"bufio"
	"context"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Counters are what a daemon's metrics said at one time.
type Counters struct {
	at       time.Time
	cpu      float64
	resident float64
	heap     float64
	bytes    map[string]float64
}

// Names of the metrics that are read.
const (
	metricCPU      = "process_cpu_seconds_total"
	metricResident = "process_resident_memory_bytes"
	metricHeap     = "go_memstats_heap_inuse_bytes"
)

var controlBytes = regexp.MustCompile(`^peridotwinch_control_bytes_total\{(.*)\}$`)
var purposeLabel = regexp.MustCompile(`purpose="([^"]*)"`)

// ReadCounters reads a daemon's metrics from its platform address.
func ReadCounters(ctx context.Context, platform string) (*Counters, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+platform+"/metrics", nil)
	if err != nil {
		return nil, errors.Wrap(err, "read metrics")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "read metrics")
	}
	defer func() { _ = resp.Body.Close() }()
	out := &Counters{at: time.Now(), bytes: make(map[string]float64)}
	scanner := bufio.NewScanner(resp.Body)
	for scanner.Scan() {
		out.add(scanner.Text())
	}
	return out, errors.Wrap(scanner.Err(), "read metrics")
}

// add reads one line "name value".
func (c *Counters) add(line string) {
	space := strings.LastIndexByte(line, ' ')
	if space < 0 {
		return
	}
	value, err := strconv.ParseFloat(line[space+1:], 64)
	if err != nil {
		return
	}
	name := line[:space]
	switch name {
	case metricCPU:
		c.cpu = value
	case metricResident:
		c.resident = value
	case metricHeap:
		c.heap = value
	}
	if labels := controlBytes.FindStringSubmatch(name); labels != nil {
		c.bytes[purposeOf(labels[1])] += value
	}
}

func purposeOf(labels string) string {
	if match := purposeLabel.FindStringSubmatch(labels); match != nil {
		return match[1]
	}
	return "unknown"
}

// Since returns what changed from an earlier reading.
func (c *Counters) Since(before *Counters, name string) DaemonReport {
	seconds := c.at.Sub(before.at).Seconds()
	out := DaemonReport{
		Name: name, Seconds: seconds, CPUSeconds: c.cpu - before.cpu, ResidentBytes: int64(c.resident), HeapBytes: int64(c.heap),
		ControlBytesPerSecond: make(map[string]float64),
	}
	for purpose, bytes := range c.bytes {
		rate := (bytes - before.bytes[purpose]) / seconds
		out.ControlBytesPerSecond[purpose] = rate
		out.ControlTotal += rate
	}
	return out
}
