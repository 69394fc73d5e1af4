package eventlog_test

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"peridotwinch.example/peridotwinch/internal/eventlog"
)

// TestBlockedOutputDoesNotBlockWriter guards against a daemon that stalls because the
// consumer of its log has stopped reading.
func TestBlockedOutputDoesNotBlockWriter(t *testing.T) {
	g := NewWithT(t)
	reader, output := io.Pipe()
	defer func() { _ = reader.Close() }()
	w := eventlog.NewWriter(output)
	log := zerolog.New(w)
	start := time.Now()
	for range 10_000 {
		log.Info().Msg("line")
	}
	g.Expect(time.Since(start)).To(BeNumerically("<", 2*time.Second))
	g.Expect(w.Dropped()).To(BeNumerically(">", 8000))
}

func TestCloseWritesQueuedLines(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	w := eventlog.NewWriter(&out)
	for i := range 100 {
		_, _ = fmt.Fprintf(w, "%d\n", i)
	}
	w.Close()
	g.Expect(strings.Count(out.String(), "\n")).To(Equal(100))
}

func TestLinesOverBudgetAreDiscardedAndCounted(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	log := zerolog.New(&out).Hook(eventlog.NewBudget(time.Now()))
	for range 1000 {
		log.Info().Msg("frequent")
	}
	log.Info().Msg("rare")
	log.Error().Msg("failure")
	g.Expect(strings.Count(out.String(), "frequent")).To(BeNumerically("<=", 120), "the budget of one second, or of two if a second ends in between")
	g.Expect(out.String()).To(ContainSubstring("rare"))
	g.Expect(out.String()).To(ContainSubstring("failure"))
	time.Sleep(1100 * time.Millisecond)
	log.Info().Msg("frequent")
	g.Expect(out.String()).To(MatchRegexp(`"leftOutBefore":\d+.*frequent`))
}
