package settings_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/settings"
)

// TestTextAfterTheSettingsIsRefused guards against a file that was replaced in place by a shorter
// text and is read in part.
func TestTextAfterTheSettingsIsRefused(t *testing.T) {
	g := NewWithT(t)
	_, err := settings.Parse([]byte(`{"instance": "a"}]}`))
	g.Expect(err).To(MatchError(ContainSubstring("text follows")))
}

// TestSettingsThatCannotBeReadNameTheField guards against a daemon that runs with other settings than its
// file has.
func TestSettingsThatCannotBeReadNameTheField(t *testing.T) {
	for text, field := range map[string]string{
		"{\"instance\": \"a\xff\"}":                    "instance",
		`{"instance": "\ud800"}`:                       "instance",
		`{"instance": "a", "instance": "b"}`:           "instance",
		`{"Instance": "a"}`:                            "Instance",
		`{"listen": {"peers": "a", "peers": "b"}}`:     "listen.peers",
		`{"peers": [{"instance": "a"}, {"colour":1}]}`: "peers[1].colour",
		`{"dataDir": 1}`:                               "dataDir",
	} {
		g := NewWithT(t)
		_, err := settings.Parse([]byte(text))
		g.Expect(api.AsError(err).Code).To(Equal(api.CodeSettingsInvalid), text)
		g.Expect(api.AsError(err).Field).To(Equal(field), text)
	}
}
