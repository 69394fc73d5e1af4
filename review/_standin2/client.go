package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"
)

var lastID atomic.Int64

// client is a client with connections of its own. It never sends a request again by itself.
type client struct {
	http    *http.Client
	address string
}

func newClient(address string) *client {
	transport := &http.Transport{MaxConnsPerHost: 1, MaxIdleConnsPerHost: 1, DisableCompression: true,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	return &client{address: address, http: &http.Client{Transport: transport}}
}

// result is what a client saw of one attempt.
type result struct {
	id     string
	kept   bool
	status int
	// closed is set if the connection ended before the answer's end; headSeen if its head had come.
	closed   bool
	headSeen bool
	err      error
	header   http.Header
	body     []byte
	sentAt   time.Time
	took     time.Duration
}

// send sends one attempt and reads the answer.
func (c *client) send(method, path string, body []byte, deadline time.Duration, extra http.Header) result {
	out := result{id: fmt.Sprintf("%016x", lastID.Add(1)), sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { out.kept = info.Reused }})
	r, _ := http.NewRequestWithContext(ctx, method, "http://"+c.address+path, nil)
	if body != nil {
		r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
	}
	r.Host = host
	r.Header.Set("Peridotwinch-Attempt-Id", out.id)
	r.Header.Set("Peridotwinch-Request-Deadline", strconv.FormatInt(deadline.Milliseconds(), 10))
	r.Header.Set("Authorization", "Token "+apiKey)
	for name, values := range extra {
		r.Header[name] = values
	}
	response, err := c.http.Do(r)
	if err == nil {
		out.status, out.header, out.headSeen = response.StatusCode, response.Header, true
		out.body, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
	}
	out.err, out.took = err, time.Since(out.sentAt)
	out.closed = err != nil && ctx.Err() == nil
	return out
}
