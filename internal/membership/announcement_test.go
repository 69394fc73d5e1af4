package membership_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"peridotwinch.example/peridotwinch/internal/membership"
	"peridotwinch.example/peridotwinch/internal/settings"
)

// TestAnnouncementThatCannotBeOrderedIsRefused guards against an announcement without an incarnation or
// a sequence number, or with two of them, that is taken for an old one or takes a server's place.
func TestAnnouncementThatCannotBeOrderedIsRefused(t *testing.T) {
	const valid = `{"address":"127.0.0.1:9001","incarnation":7,"sequence":2,"pool":"chat","state":"serving","slots":4}`
	for old, c := range map[string][2]string{
		`"incarnation":7,`:  {``, "incarnation"},
		`"incarnation":7`:   {`"incarnation":null`, "incarnation"},
		`"sequence":2,`:     {``, "sequence"},
		`"sequence":2`:      {`"sequence":2,"sequence":3`, "sequence"},
		`"pool":"chat"`:     {"\"pool\":\"ch\xffat\"", "pool"},
		`"state":"serving"`: {`"State":"serving"`, "state"},
	} {
		g := NewWithT(t)
		service := membership.NewService(&settings.Settings{Instance: "router-1", FailureDomain: "a"}, zerolog.Nop())
		recorder := httptest.NewRecorder()
		body := strings.Replace(valid, old, c[0], 1)
		service.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/v1/announcements", strings.NewReader(body)))
		g.Expect(recorder.Code).To(Equal(http.StatusBadRequest), body)
		g.Expect(recorder.Body.String()).To(ContainSubstring(`"field":"`+c[1]+`"`), body)
		g.Expect(service.Servers()).To(BeEmpty(), body)
	}
}
