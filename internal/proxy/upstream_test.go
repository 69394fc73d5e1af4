package proxy

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"peridotwinch.example/peridotwinch/api"
)

func BenchmarkSend(b *testing.B) {
	for _, bench := range []struct {
		name   string
		echoes bool
	}{{"echo", true}, {"noEcho", false}} {
		b.Run(bench.name, func(b *testing.B) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if bench.echoes {
					w.Header().Set(api.HeaderSendID, r.Header.Get(api.HeaderSendID))
				}
				_, _ = io.WriteString(w, "done")
			}))
			defer server.Close()
			u := newUpstream(longProgressTimeout, zerolog.Nop())
			address := strings.TrimPrefix(server.URL, "http://")
			opened := connectionsOpened.Get()
			for b.Loop() {
				ex, err := u.send(context.Background(), outboundRequest{method: http.MethodGet, path: "/", header: http.Header{}}, address, longProgressTimeout)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := io.Copy(io.Discard, ex.Body); err != nil {
					b.Fatal(err)
				}
				ex.close()
			}
			b.ReportMetric(float64(connectionsOpened.Get()-opened)/float64(b.N), "connections/op")
		})
	}
}
