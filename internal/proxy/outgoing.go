package proxy

import (
	"net/http"
	"slices"
	"strconv"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/backend"
)

// outboundRequest is a request to a backend server or to another router.
type outboundRequest struct {
	method string
	path   string
	header http.Header
	body   []byte
}

// build returns the request with a send ID to the server at address.
func (o outboundRequest) build(address, sendID string) *backend.Request {
	header := o.header.Clone()
	header.Set(api.HeaderSendID, sendID)
	return &backend.Request{
		ID:     sendID,
		Method: o.method, Target: o.path, Host: address, Header: header, Body: o.body,
		HasBody: slices.Contains(methodsWithBody, o.method),
	}
}

// methodsWithBody lists the methods whose requests declare a body also if it is empty.
var methodsWithBody = []string{http.MethodPost, http.MethodPut, http.MethodPatch}

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
