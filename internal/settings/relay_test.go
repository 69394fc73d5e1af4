package settings_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/internal/settings"
)

func TestRelayLimitsAreChecked(t *testing.T) {
	g := NewWithT(t)
	_, err := settings.Parse([]byte(`{"relay": {"maxDirect": 65, "perDomain": -1, "maxFollowers": 64}}`))
	g.Expect(err).To(MatchError(ContainSubstring("relay.maxDirect")))
	g.Expect(err).To(MatchError(ContainSubstring("relay.perDomain")))
	g.Expect(err).NotTo(MatchError(ContainSubstring("relay.maxFollowers")))
}

func TestRelayDefaults(t *testing.T) {
	g := NewWithT(t)
	r := settings.Relay{}
	g.Expect([]int{r.Direct(), r.DomainRelays(), r.Followers()}).To(Equal([]int{8, 2, 16}))
}
