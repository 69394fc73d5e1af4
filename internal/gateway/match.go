package gateway

import (
	"net/http"

	"github.com/rs/zerolog"
)

// acceptAnswer reports whether an answer belongs to the request. One that does not is counted and
// logged; what it says about the server may be outdated.
func (c *call) acceptAnswer(lease *lease, r *http.Response, connReused bool) bool {
	// A request is sent again because of a refusal, so nothing but its ID shows whose refusal it is.
	mustEcho := connReused || c.gateway.dialect.ParseAnswer(r.StatusCode, r.Header).NotRun
	if c.gateway.dialect.AnswersAttempt(c.in.ID, r.Header, mustEcho) {
		return true
	}
	c.gateway.metrics.answersUnmatched.Inc()
	c.log(zerolog.InfoLevel).Str("server", lease.id).Str("address", lease.address).Int("status", r.StatusCode).
		Bool("connReused", connReused).Msg("unmatched answer skipped")
	return false
}
