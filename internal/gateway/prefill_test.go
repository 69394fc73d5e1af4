package gateway_test

import (
	"bytes"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"peridotwinch.example/peridotwinch/internal/gateway"
	"peridotwinch.example/peridotwinch/internal/quarantine"
)

// TestLogShowsWhyPromptsAreSeparated guards against a setting without effect on pools that are
// created later, and against choices that `explain` cannot show.
func TestLogShowsWhyPromptsAreSeparated(t *testing.T) {
	g := NewWithT(t)
	var log bytes.Buffer
	gw := gateway.New("zone", testDialect{}, 0, quarantine.NewStore("router", zerolog.Nop()), zerolog.New(zerolog.SyncWriter(&log)))
	gw.SeparatePrompts()
	table := newTable(t)
	table.Pools[0].Engine = true
	gw.SetTableSource(staticTable{table})
	var servers []*testServer
	for i := range 8 {
		servers = append(servers, startTestServer(t, fmt.Sprint("s-", i), answerOK))
	}
	gw.SetServers(entriesOf(servers))
	server := httptest.NewServer(gw)
	defer server.Close()
	for i := range 100 {
		parts := fmt.Sprintf("a%d b%d", i%7, i)
		if i%4 == 0 {
			parts += strings.Repeat(" c", 8)
		}
		g.Expect(send(t, server.URL, "/safe/x", "Parts", parts).body).To(Equal("whole"))
	}
	var exported bytes.Buffer
	metrics.WritePrometheus(&exported, false)
	server.Close()
	g.Expect(log.String()).To(ContainSubstring(`"promptClass":"long","otherClass":false`))
	g.Expect(log.String()).To(ContainSubstring(`"promptClass":"short","otherClass":false`))
	g.Expect(exported.String()).To(ContainSubstring("peridotwinch_gateway_short_prompt_servers 4\n"))
	g.Expect(exported.String()).To(ContainSubstring("peridotwinch_gateway_long_prompt_tokens 800\n"))
	g.Expect(exported.String()).To(ContainSubstring(`peridotwinch_gateway_classed_prompts_total{class="short",other_class="false"}`))
}
