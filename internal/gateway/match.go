package gateway

import (
	"net/http"

	"github.com/rs/zerolog"
)

// acceptAnswer reports whether an answer belongs to the request. One that does not is counted and
// logged; what it says about the server may be outdated.
func (c *call) acceptAnswer(lease *lease, r *http.Response, connReused bool) bool {
	if c.gateway.dialect.AnswersAttempt(c.in.ID, r.Header, connReused) {
		return true
	}
	c.gateway.metrics.answersUnmatched.Inc()
	c.log(zerolog.InfoLevel).Str("server", lease.id).Str("address", lease.address).Int("status", r.StatusCode).
		Bool("connReused", connReused).Msg("unmatched answer skipped")
	return false
}
