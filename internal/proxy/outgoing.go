package proxy

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"

	"peridotwinch.example/peridotwinch/api"
)

// outboundRequest is a request to a backend server or to another router.
type outboundRequest struct {
	method string
	path   string
	header http.Header
	body   []byte
}

// nonReplayableBody is a body that net/http can neither rewind nor take for empty,
// so that net/http never replays the request on a second connection.
type nonReplayableBody struct{ io.Reader }

// Close implements io.Closer.
func (nonReplayableBody) Close() error { return nil }

// build returns the HTTP request to the server at address.
func (o outboundRequest) build(ctx context.Context, address string) (*http.Request, error) {
	body := nonReplayableBody{bytes.NewReader(o.body)}
	req, err := http.NewRequestWithContext(ctx, o.method, "http://"+address+o.path, body)
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(o.body))
	req.Header = o.header.Clone()
	return req, nil
}

// resumeAt returns a copy of the request that resumes its stream at offset.
func (o outboundRequest) resumeAt(offset int) outboundRequest {
	resumed := o
	resumed.header = o.header.Clone()
	resumed.header.Set(api.HeaderResumeOffset, strconv.Itoa(offset))
	return resumed
}

// backendHeader returns the headers of a request to a backend server.
func backendHeader(r *http.Request, c *call, class api.Class) http.Header {
	header := http.Header{}
	header.Set(api.HeaderRequestID, c.id)
	header.Set(api.HeaderPriority, string(class))
	copyHeaders(header, r.Header, "Content-Type", "Accept", api.HeaderChat, api.HeaderIdempotencyKey)
	return header
}

// forwardedHeader returns the headers of a request that is forwarded to another router.
func forwardedHeader(r *http.Request, c *call) http.Header {
	header := http.Header{}
	copyHeaders(header, r.Header, "Authorization", "Content-Type", "Accept",
		api.HeaderChat, api.HeaderAffinity, api.HeaderIdempotencyKey)
	header.Set(api.HeaderRequestID, c.id)
	header.Set(api.HeaderHop, "1")
	return header
}

func copyHeaders(to, from http.Header, names ...string) {
	for _, name := range names {
		if value := from.Get(name); value != "" {
			to.Set(name, value)
		}
	}
}
