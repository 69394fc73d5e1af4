package proxy

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"

	"peridotwinch.example/peridotwinch/api"
)

// outgoing is a request as it goes to a backend server or to another router.
type outgoing struct {
	method string
	path   string
	header http.Header
	body   []byte
}

// onceBody is a body that net/http cannot rewind and never takes for empty, so
// that it never replays the request on a second connection by itself.
type onceBody struct{ io.Reader }

// Close implements io.Closer.
func (onceBody) Close() error { return nil }

// build returns the request to the server at address.
func (o outgoing) build(ctx context.Context, address string) (*http.Request, error) {
	body := onceBody{bytes.NewReader(o.body)}
	req, err := http.NewRequestWithContext(ctx, o.method, "http://"+address+o.path, body)
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(o.body))
	req.Header = o.header.Clone()
	return req, nil
}

// resumeAt returns the request with the offset at which a stream goes on.
func (o outgoing) resumeAt(offset int) outgoing {
	out := o
	out.header = o.header.Clone()
	out.header.Set(api.HeaderResumeOffset, strconv.Itoa(offset))
	return out
}

// backendHeader returns the headers that a backend server gets.
func backendHeader(r *http.Request, c *call, class api.Class) http.Header {
	header := http.Header{}
	header.Set(api.HeaderRequestID, c.id)
	header.Set(api.HeaderPriority, string(class))
	copyHeader(header, r.Header, "Content-Type", "Accept", api.HeaderChat, api.HeaderIdempotencyKey)
	return header
}

// hopHeader returns the caller's headers as another router gets them.
func hopHeader(r *http.Request, c *call) http.Header {
	header := http.Header{}
	copyHeader(header, r.Header, "Authorization", "Content-Type", "Accept",
		api.HeaderChat, api.HeaderAffinity, api.HeaderIdempotencyKey)
	header.Set(api.HeaderRequestID, c.id)
	header.Set(api.HeaderHop, "1")
	return header
}

func copyHeader(to, from http.Header, names ...string) {
	for _, name := range names {
		if value := from.Get(name); value != "" {
			to.Set(name, value)
		}
	}
}
