package gateway

import (
	"net/http"

	"github.com/pkg/errors"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/bytebudget"
)

// defaultMaxBodyBytes is the body size limit if the route table sets none.
const defaultMaxBodyBytes = 4 << 20

// SetRequestMemory bounds the memory for the bodies of all requests in progress. It must be called before
// the gateway serves.
func (g *Gateway) SetRequestMemory(limitBytes int64) {
	g.requestMemory = bytebudget.NewStrict(limitBytes)
}

// readBody reads the body into the call's share of the memory for bodies, which it holds until it ends:
// another attempt sends the body again.
func (c *call) readBody() error {
	limit := c.table.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if c.r.ContentLength == 0 {
		return nil
	}
	if c.r.ContentLength > limit {
		return api.Errorf(api.CodeTooLarge, "body has %d bytes; the limit is %d", c.r.ContentLength, limit)
	}
	var err error
	c.body, err = c.memory.ReadAll(http.MaxBytesReader(c.w, c.r.Body, limit), c.r.ContentLength)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, bytebudget.ErrExhausted):
		return api.Errorf(api.CodeMemoryExhausted, "the requests in progress hold %d bytes", c.gateway.requestMemory.UsedBytes())
	case errors.As(err, &tooLarge):
		return api.Errorf(api.CodeTooLarge, "body exceeds %d bytes", limit)
	case err != nil:
		return api.Errorf(api.CodeRequestInvalid, "read the body: %v", err)
	}
	return nil
}
