package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/fakebackend"
)

func validMix() *Mix {
	return &Mix{
		Seed: 7, DurationMS: 500, RatePerSecond: 200, HomeShare: 1,
		Chats:  Chats{Turns: 4, PauseMS: 10, ReturnShare: 0.8},
		Shapes: []Shape{{Name: "short", Class: api.ClassShort, Model: "m", Share: 1, PromptTokens: 40, TurnTokens: 20, AnswerTokens: 3}},
		Customers: []Customer{
			{Name: "clerks", Token: "t1", Share: 0.75}, {Name: "traders", Token: "t2", Share: 0.25},
		},
	}
}

// The errors of an invalid mix must list every invalid field, not only the first.
func TestInvalidMixReportsEveryField(t *testing.T) {
	g := NewWithT(t)
	g.Expect(validMix().Validate()).To(BeEmpty())
	mix := validMix()
	mix.DurationMS = 0
	mix.Shapes[0].Service = "gates"
	mix.Customers[1].Token = ""
	mix.Crest = &Crest{LengthMS: 10, Factor: 0.5, Customers: []string{"nobody"}}
	var fields []string
	for _, err := range mix.Validate() {
		g.Expect(err.Code).To(Equal(api.CodeLoadMixInvalid))
		fields = append(fields, err.Field)
	}
	g.Expect(fields).To(Equal([]string{
		"durationMs", "warmupMs", "shapes[0].model", "customers[1].token", "crest.factor", "crest.customers[0]",
	}))
}

func TestNonLoopbackTargetsAreRejected(t *testing.T) {
	g := NewWithT(t)
	targets := Targets{Routers: []RouterTarget{{Callers: "192.0.2.1:80"}}}
	g.Expect(targets.Validate()).To(HaveLen(1))
}

func TestDocumentedMixesAreValidAndUnknownFieldIsRejected(t *testing.T) {
	g := NewWithT(t)
	paths, err := filepath.Glob("../../docs/measures/mixes/*.json")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(paths).NotTo(BeEmpty())
	for _, path := range paths {
		_, err := ReadMix(path)
		g.Expect(err).NotTo(HaveOccurred(), path)
	}
	misspelt := filepath.Join(t.TempDir(), "mix.json")
	g.Expect(os.WriteFile(misspelt, []byte(`{"sed": 1}`), 0o600)).To(Succeed())
	_, err = ReadMix(misspelt)
	g.Expect(err).To(MatchError(ContainSubstring("sed")))
}

func TestPlanIsReproducibleAndFollowsCrestRate(t *testing.T) {
	g := NewWithT(t)
	mix := validMix()
	mix.DurationMS = 30_000
	mix.Crest = &Crest{StartMS: 10_000, LengthMS: 10_000, Factor: 3, Customers: []string{"clerks"}}
	count := func() (inside, outside, clerks int) {
		plan := newPlan(mix)
		for a, ok := plan.next(); ok; a, ok = plan.next() {
			if !mix.inCrest(a.at) {
				outside++
				continue
			}
			inside++
			if a.customer == 0 {
				clerks++
			}
		}
		return inside, outside, clerks
	}
	inside, outside, clerks := count()
	g.Expect(outside).To(BeNumerically("~", 4000, 250))
	g.Expect(inside).To(BeNumerically("~", 5000, 300))
	g.Expect(float64(clerks) / float64(inside)).To(BeNumerically("~", 0.9, 0.03))
	again, _, _ := count()
	g.Expect(again).To(Equal(inside))
}

// fakeRouter returns a router that streams the expected answer to each chat. With
// truncate, it omits the end marker of the stream.
func fakeRouter(truncate bool) *httptest.Server {
	return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		request := &api.ChatRequest{}
		_ = json.NewDecoder(r.Body).Decode(request)
		id := r.Header.Get(api.HeaderRequestID)
		w.Header().Set(api.HeaderRequestID, id)
		tokens := fakebackend.ExpectedAnswer(request)
		for i, token := range tokens {
			chunk := api.ChatChunk{ID: id, Choices: []api.ChatChunkChoice{{Delta: api.ChatMessage{Content: token}}}}
			if i == len(tokens)-1 {
				chunk.Usage = &api.Usage{PromptTokens: 10, CachedTokens: 5, CompletionTokens: len(tokens)}
			}
			raw, _ := json.Marshal(chunk)
			_, _ = fmt.Fprintf(w, "data: %s\n\n", raw)
		}
		if truncate {
			return
		}
		_, _ = fmt.Fprintf(w, "data: %s\n\n", api.StreamEnd)
	}))
}

func runValidMix(t *testing.T, router *httptest.Server) *Report {
	t.Cleanup(router.Close)
	targets := &Targets{Routers: []RouterTarget{{Name: "r", Callers: strings.TrimPrefix(router.URL, "http://")}}}
	report, err := Run(context.Background(), validMix(), targets)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return report
}

func TestRunCountsWholeAnswersAndReturningChats(t *testing.T) {
	g := NewWithT(t)
	report := runValidMix(t, fakeRouter(false))
	g.Expect(report.Sent).To(BeNumerically(">", 50))
	g.Expect(report.Outcomes).To(Equal([]OutcomeCount{{Code: api.CodeOK, Name: "ok", Count: report.Sent}}))
	g.Expect(report.Classes[0].Whole.Count).To(BeNumerically("==", report.Sent))
	g.Expect(report.Classes[0].Between.Count).To(BeNumerically("==", 2*report.Sent))
	g.Expect(report.Customers).To(HaveLen(2))
	g.Expect(report.Cache.Returns).To(BeNumerically(">", 0))
	var text bytes.Buffer
	report.Print(&text)
	g.Expect(text.String()).To(ContainSubstring("0 not whole"))
}

// A stream that ends without an end marker must not count as a complete answer,
// even if all its tokens arrived.
func TestStreamWithoutEndMarkerIsNotWhole(t *testing.T) {
	g := NewWithT(t)
	report := runValidMix(t, fakeRouter(true))
	g.Expect(report.NotWhole).To(Equal(report.Sent))
	g.Expect(report.Faults[0]).To(ContainSubstring("stream ended without an end marker"))
}

// Groups with a mean load below minMeanLoad are not sampled.
func TestSkewCountsSamplesOverLoadBound(t *testing.T) {
	g := NewWithT(t)
	meter := newSkewMeter(nil)
	meter.recordGroup([]int{0, 1, 2})
	g.Expect(meter.report()).To(BeNil())
	meter.recordGroup([]int{4, 4, 7})
	meter.recordGroup([]int{4, 4, 10})
	g.Expect(meter.report().OverBound).To(Equal(1))
	g.Expect(meter.report().Highest).To(BeNumerically("~", 10.0/6, 0.001))
}

func TestCountersParseMetrics(t *testing.T) {
	g := NewWithT(t)
	before, after := &Counters{controlBytes: map[string]float64{}}, &Counters{controlBytes: map[string]float64{}}
	before.readAt, after.readAt = time.Unix(0, 0), time.Unix(2, 0)
	for _, line := range []string{
		"# HELP x", `peridotwinch_control_bytes_total{purpose="membership",direction="in"} 100`,
		`peridotwinch_control_bytes_total{purpose="membership",direction="out"} 300`,
		"process_cpu_seconds_total 1.5", "process_resident_memory_bytes 5e6",
	} {
		after.addLine(line)
	}
	report := after.Since(before, "r")
	g.Expect(report.ControlBytesPerSecond).To(HaveKeyWithValue("membership", 200.0))
	g.Expect(report.CPUSeconds).To(Equal(1.5))
	g.Expect(report.ResidentBytes).To(BeNumerically("==", 5_000_000))
}

func TestFitLineReturnsSlopeAndIntercept(t *testing.T) {
	g := NewWithT(t)
	fit := FitLine([]Point{{1, 5}, {2, 7}, {4, 11}})
	g.Expect(fit.Slope).To(BeNumerically("~", 2, 1e-9))
	g.Expect(fit.At(10)).To(BeNumerically("~", 23, 1e-9))
	g.Expect(fit.R2).To(BeNumerically("~", 1, 1e-9))
	g.Expect(FitLine([]Point{{1, 5}}).Slope).To(BeZero())
}
