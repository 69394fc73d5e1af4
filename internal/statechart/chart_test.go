package statechart_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/internal/statechart"
)

func TestStatechart(t *testing.T) {
	RegisterFailHandler(Fail)
	suite, reporter := GinkgoConfiguration()
	suite.RandomSeed = 1
	RunSpecs(t, "statechart", suite, reporter)
}

var _ = Describe("Chart", func() {
	It("applies declared transitions and rejects others", func() {
		chart := statechart.MustLoad("daemon")
		state, err := chart.Next(chart.Initial(), "started")
		Expect(err).NotTo(HaveOccurred())
		Expect(state).To(Equal(statechart.State("serving")))
		state, err = chart.Next("stopped", "drain")
		Expect(err).To(HaveOccurred())
		Expect(state).To(Equal(statechart.State("stopped")))
	})

	It("accepts every embedded chart", func() {
		files, err := filepath.Glob("charts/*.json")
		Expect(err).NotTo(HaveOccurred())
		Expect(files).NotTo(BeEmpty())
		for _, file := range files {
			raw, err := os.ReadFile(file)
			Expect(err).NotTo(HaveOccurred())
			_, err = statechart.Parse(raw)
			Expect(err).NotTo(HaveOccurred(), file)
			_, err = statechart.Load(strings.TrimSuffix(filepath.Base(file), ".json"))
			Expect(err).NotTo(HaveOccurred(), file)
		}
	})

	DescribeTable("rejects", func(raw, message string) {
		_, err := statechart.Parse([]byte(raw))
		Expect(err).To(MatchError(ContainSubstring("1003 chart_invalid")))
		Expect(err).To(MatchError(ContainSubstring(message)))
	},
		Entry("a state that cannot be reached",
			`{"name":"x","initial":"a","states":["a","b"],"events":[],"transitions":[]}`, `state "b" cannot be reached`),
		Entry("an unknown event",
			`{"name":"x","initial":"a","states":["a"],"events":[],"transitions":[{"from":"a","event":"e","to":"a"}]}`, `unknown event "e"`),
		Entry("an unknown state",
			`{"name":"x","initial":"a","states":["a"],"events":["e"],"transitions":[{"from":"a","event":"e","to":"b"}]}`, `unknown state`),
		Entry("an unknown initial state", `{"name":"x","initial":"z","states":["a"]}`, `unknown state "z"`),
		Entry("an unknown field", `{"name":"x","colour":1}`, `colour`),
	)
})
