package settings_test

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/internal/settings"
)

// TestAnnouncementsAddressIsOneToConnectTo guards against servers that are sent to an address that
// nothing can connect to, and against daemons that cannot forward what they are sent.
func TestAnnouncementsAddressIsOneToConnectTo(t *testing.T) {
	g := NewWithT(t)
	parse := func(address, rest string) error {
		_, err := settings.Parse([]byte(strings.NewReplacer("ADDRESS", address, "REST", rest).Replace(`{"instance": "r", "failureDomain": "z",
			"roles": ["router"], "nameSchemes": ["site"], REST "listen": {"callers": "10.0.0.1:1", "platform": "10.0.0.1:2", "peers": "10.0.0.1:3",
			"backends": "10.0.0.1:4", "announcements": "ADDRESS"}}`)))
		return err
	}
	const join = `"adapter": "platform", "join": {"seeds": ["10.0.0.2:4"]},`
	g.Expect(parse("10.0.0.1:5", join)).To(Succeed())
	for _, address := range []string{"0.0.0.0:5", "10.0.0.1:0", "router:5"} {
		g.Expect(parse(address, join)).To(MatchError(ContainSubstring("listen.announcements")), address)
	}
	g.Expect(parse("10.0.0.1:5", "")).To(MatchError(ContainSubstring("requires the role router, join and adapter")))
}
