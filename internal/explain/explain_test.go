package explain_test

import (
	"bytes"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/internal/explain"
)

// printedTrace returns what Print writes for request r1 of the logs.
func printedTrace(g *WithT, logs ...string) string {
	trace := &explain.Trace{ID: "r1"}
	for _, log := range logs {
		g.Expect(trace.Read(strings.NewReader(log))).To(Succeed())
	}
	var out bytes.Buffer
	g.Expect(trace.Print(&out)).To(Succeed())
	return out.String()
}

func TestLinesOfSeveralDaemonsAreSortedByTime(t *testing.T) {
	g := NewWithT(t)
	got := printedTrace(g,
		`12.5 front-2 {"instance":"front-2","requestId":"r1","time":"2026-01-01T10:00:02Z","message":"request failed","cause":"it broke"}`+"\n",
		`{"instance":"front-1","requestId":"r1","time":"2026-01-01T10:00:01Z","message":"send failed","server":"i-1","written":true}`+"\n"+
			`{"instance":"front-1","requestId":"r2","time":"2026-01-01T10:00:01Z","message":"request answered","cause":"r1"}`+"\n"+
			"no JSON about r1\n")
	lines := strings.Split(strings.TrimSpace(got), "\n")
	g.Expect(lines).To(HaveLen(3))
	g.Expect(lines[0]).To(And(ContainSubstring("front-1"), ContainSubstring("server=i-1"), ContainSubstring("written=true")))
	g.Expect(lines[1]).To(ContainSubstring("front-2"))
	g.Expect(lines[2]).To(Equal("r1: failed after it may have run on i-1: it broke"))
}

func TestCutAnswerIsNamed(t *testing.T) {
	g := NewWithT(t)
	g.Expect(printedTrace(g, `{"requestId":"r1","message":"answer cut","cause":"it broke"}`)).To(ContainSubstring("the answer was cut"))
}

func TestDroppedLinesAreReported(t *testing.T) {
	g := NewWithT(t)
	got := printedTrace(g, `{"requestId":"r1","message":"request refused","cause":"full","leftOutBefore":7}`)
	g.Expect(got).To(ContainSubstring("dropped 7 log lines over budget"))
	g.Expect(got).To(ContainSubstring("refused, and no server has run it: full"))
}

func TestUnknownRequestIsReported(t *testing.T) {
	g := NewWithT(t)
	g.Expect(printedTrace(g, `{"requestId":"r2"}`)).To(ContainSubstring("no line of these logs names the request"))
}
