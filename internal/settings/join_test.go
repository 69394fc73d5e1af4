package settings_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/internal/settings"
)

func TestFaultToleranceIsChecked(t *testing.T) {
	g := NewWithT(t)
	for _, invalid := range []string{"-1", "5"} {
		_, err := settings.Parse([]byte(`{"join": {"seeds": ["10.0.0.1:1"], "faultTolerance": ` + invalid + `}}`))
		g.Expect(err).To(MatchError(ContainSubstring("join.faultTolerance")), invalid)
	}
	_, err := settings.Parse([]byte(`{"join": {"seeds": ["10.0.0.1:1"], "faultTolerance": 4}}`))
	g.Expect(err).NotTo(MatchError(ContainSubstring("join.faultTolerance")))
	g.Expect((&settings.Join{}).MaxVoters()).To(Equal(3))
	g.Expect((&settings.Join{FaultTolerance: 2}).MaxVoters()).To(Equal(5))
}

// TestFaultToleranceOfTheEnvironment checks that the environment sets what the settings leave open, and
// that text that is not valid is refused.
func TestFaultToleranceOfTheEnvironment(t *testing.T) {
	g := NewWithT(t)
	s := &settings.Settings{Join: &settings.Join{}}
	g.Expect(s.SetFaultTolerance("")).To(Succeed())
	g.Expect(s.Join.MaxVoters()).To(Equal(3))
	for _, invalid := range []string{"two", "5", "-1", "1.5"} {
		g.Expect((&settings.Settings{Join: &settings.Join{}}).SetFaultTolerance(invalid)).To(MatchError(ContainSubstring("join.faultTolerance")), invalid)
	}
	g.Expect(s.SetFaultTolerance("2")).To(Succeed())
	g.Expect(s.Join.MaxVoters()).To(Equal(5))
	g.Expect(s.SetFaultTolerance("1")).To(Succeed())
	g.Expect(s.Join.MaxVoters()).To(Equal(5), "the settings state it")
	g.Expect((&settings.Settings{}).SetFaultTolerance("1")).To(Succeed(), "a daemon without seeds")
}
