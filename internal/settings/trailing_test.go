package settings_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/internal/settings"
)

// TestTextAfterTheSettingsIsRefused guards against a file that was replaced in place by a shorter
// text and is read in part.
func TestTextAfterTheSettingsIsRefused(t *testing.T) {
	g := NewWithT(t)
	_, err := settings.Parse([]byte(`{"instance": "a"}]}`))
	g.Expect(err).To(MatchError(ContainSubstring("text follows")))
}
