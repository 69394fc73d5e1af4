package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

const apiKey = "key-1"

// attempt is what a client sent and received.
type attempt struct {
	id, kind, front string
	sentAt, endedAt time.Time
	status          int
	stamp, body     string
	err             error
}

func newID() string {
	var raw [8]byte
	_, _ = rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}

// client sends requests to one front on kept connections.
type client struct {
	http  *http.Client
	front *machine
}

func newClient(m *machine) *client {
	return &client{front: m, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16, DisableCompression: true}}}
}

// send sends one request with a deadline, and records its outcome.
func (c *client) send(method, host, path, kind, body string, deadline time.Duration) attempt {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	a := attempt{id: newID(), kind: kind, front: c.front.name, sentAt: time.Now()}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.front.front+path, strings.NewReader(body))
	check(err)
	request.Host = host
	request.Header.Set("Peridotwinch-Attempt-Id", a.id)
	request.Header.Set("Peridotwinch-Request-Deadline", itoa(int(deadline.Milliseconds())))
	request.Header.Set("Authorization", "Token "+apiKey)
	response, err := c.http.Do(request)
	if err == nil {
		a.status, a.stamp = response.StatusCode, response.Header.Get("Peridotwinch-Server-Stamp")
		var raw []byte
		raw, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		a.body = string(raw)
	}
	a.endedAt, a.err = time.Now(), err
	return a
}

// log collects attempts.
type log struct {
	mu  sync.Mutex
	all []attempt
}

func (l *log) add(a attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = append(l.all, a)
}

func (l *log) list() []attempt {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]attempt(nil), l.all...)
}
