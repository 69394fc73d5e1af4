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

// Counters are the metrics of a daemon at one time.
type Counters struct {
	readAt        time.Time
	cpuSeconds    float64
	residentBytes float64
	heapBytes     float64
	// controlBytes has the bytes of control traffic by purpose, in both directions.
	controlBytes map[string]float64
}

// Names of the metrics that ReadCounters reads.
const (
	metricCPU      = "process_cpu_seconds_total"
	metricResident = "process_resident_memory_bytes"
	metricHeap     = "go_memstats_heap_inuse_bytes"
)

var controlBytesMetric = regexp.MustCompile(`^peridotwinch_control_bytes_total\{(.*)\}$`)
var purposeLabel = regexp.MustCompile(`purpose="([^"]*)"`)

// ReadCounters reads the metrics of a daemon from its platform address.
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
	out := &Counters{readAt: time.Now(), controlBytes: make(map[string]float64)}
	scanner := bufio.NewScanner(resp.Body)
	for scanner.Scan() {
		out.addLine(scanner.Text())
	}
	return out, errors.Wrap(scanner.Err(), "read metrics")
}

// addLine adds a metrics line "name value". It ignores other lines and metrics.
func (c *Counters) addLine(line string) {
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
		c.cpuSeconds = value
	case metricResident:
		c.residentBytes = value
	case metricHeap:
		c.heapBytes = value
	}
	if labels := controlBytesMetric.FindStringSubmatch(name); labels != nil {
		c.controlBytes[purposeOf(labels[1])] += value
	}
}

func purposeOf(labels string) string {
	if match := purposeLabel.FindStringSubmatch(labels); match != nil {
		return match[1]
	}
	return "unknown"
}

// Since returns the resource use since an earlier reading. Memory is that of the
// later reading.
func (c *Counters) Since(before *Counters, name string) DaemonReport {
	seconds := c.readAt.Sub(before.readAt).Seconds()
	out := DaemonReport{
		Name: name, Seconds: seconds, CPUSeconds: c.cpuSeconds - before.cpuSeconds, ResidentBytes: int64(c.residentBytes), HeapBytes: int64(c.heapBytes),
		ControlBytesPerSecond: make(map[string]float64),
	}
	for purpose, bytes := range c.controlBytes {
		rate := (bytes - before.controlBytes[purpose]) / seconds
		out.ControlBytesPerSecond[purpose] = rate
		out.ControlTotal += rate
	}
	return out
}
