package control

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/api"
)

// TestRequestWithTextThatIsNotUTF8IsRefused guards against a write that is taken for a retry of another
// one because the log keeps the same request ID for both, and against one on another resource.
func TestRequestWithTextThatIsNotUTF8IsRefused(t *testing.T) {
	g := NewWithT(t)
	c := newControl(t, t.TempDir())
	newClient(t, c)
	handler := c.Handler()
	send := func(method, path string, headers ...string) (int, string) {
		body := `{"names":{"engine":"a"},"spec":{}}`
		r := httptest.NewRequest(method, path, strings.NewReader(body))
		for i := 0; i+1 < len(headers); i += 2 {
			r.Header.Set(headers[i], headers[i+1])
		}
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, r)
		return recorder.Code, recorder.Body.String()
	}
	status, body := send(http.MethodPut, "/apis/v1/fleets/engine:a", api.HeaderRequestID, "é-1", api.HeaderOperator, "Ámina")
	g.Expect(status).To(Equal(http.StatusOK), body)
	for _, c := range []struct{ method, path, header, value, field string }{
		{http.MethodPut, "/apis/v1/fleets/engine:%ff", "", "", "path"},
		{http.MethodDelete, "/apis/v1/fleets/engine:%ff?resourceVersion=1", "", "", "path"},
		{http.MethodGet, "/apis/v1/fleets/%ff", "", "", "path"},
		{http.MethodPut, "/apis/v1/fleets/engine:a", api.HeaderRequestID, "id-\xff", api.HeaderRequestID},
		{http.MethodPut, "/apis/v1/fleets/engine:a", api.HeaderOperator, "\xc1mina", api.HeaderOperator},
		{http.MethodDelete, "/apis/v1/fleets/engine:a?resourceVersion=1", api.HeaderRequestID, "id-\xfe", api.HeaderRequestID},
	} {
		status, body := send(c.method, c.path, c.header, c.value)
		g.Expect(status).To(Equal(http.StatusUnprocessableEntity), c.method+" "+c.path+c.value)
		g.Expect(body).To(ContainSubstring(`"field":"` + c.field + `"`))
	}
}
