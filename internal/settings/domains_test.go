package settings_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/internal/settings"
)

// TestInvalidDomainsAreNamed guards against an empty or repeated failure domain in the settings,
// which an operator could not tell from the others in a refusal.
func TestInvalidDomainsAreNamed(t *testing.T) {
	g := NewWithT(t)
	_, err := settings.Parse([]byte(`{"domains": ["a", "", "a", "b/ä"]}`))
	g.Expect(err).To(MatchError(ContainSubstring("domains[1]: missing")))
	g.Expect(err).To(MatchError(ContainSubstring(`domains[2]: duplicate domain "a"`)))
	g.Expect(err).NotTo(MatchError(ContainSubstring("domains[3]")))
}
