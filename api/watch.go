package api

import (
	"bufio"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

const (
	// watchIdleTimeout is the time without an event after which a watch is considered failed.
	watchIdleTimeout = 5 * time.Second
	// maxEventBytes bounds the encoded size of an event.
	maxEventBytes = 4 << 20
)

// Watch calls handle with each event after a revision, of a kind, or of one resource if ref is
// set. If a control instance fails or sends no event for 5 s, Watch continues at another
// instance from the highest revision received. It returns when ctx ends, when handle fails, or
// with an error such as CodeRevisionGone, after which the caller must list again and watch from
// the list's revision.
func (c *Client) Watch(ctx context.Context, kind Kind, ref Ref, revision uint64, handle func(*Event) error) error {
	path := "/apis/v1/" + string(kind)
	if ref != "" {
		path = resourcePath(kind, ref)
	}
	for i := 0; ; i++ {
		target := c.bases[i%len(c.bases)] + path + "?watch=1&revision=" + strconv.FormatUint(revision, 10)
		err := watchOne(ctx, c, target, func(event *Event) error {
			if event.Type == EventError {
				return event.Error
			}
			revision = max(revision, event.Revision)
			return handle(event)
		})
		if !isRetryable(err) {
			return err
		}
		if !sleep(ctx, callRetryDelay) {
			return ctx.Err()
		}
	}
}

// watchOne watches one control instance until it fails or sends no event in time, or until handle
// fails. E is the type of the events.
func watchOne[E any](ctx context.Context, c *Client, target string, handle func(*E) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	idleTimer := time.AfterFunc(callTimeout, cancel)
	defer idleTimer.Stop()
	req, err := c.request(ctx, http.MethodGet, target, "", nil)
	if err != nil {
		return err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Errorf(CodeUnreachable, "%v", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusBadRequest {
		return DecodeError(resp)
	}
	scanner := bufio.NewScanner(resp.Body)
	scanner.Buffer(nil, maxEventBytes)
	for scanner.Scan() {
		idleTimer.Reset(watchIdleTimeout)
		event := new(E)
		if err := json.Unmarshal(scanner.Bytes(), event); err != nil {
			return Errorf(CodeUnreachable, "a watch event is truncated or not valid JSON: %v", err)
		}
		if err := handle(event); err != nil {
			return err
		}
	}
	return Errorf(CodeUnreachable, "the watch stream ended: %v", scanner.Err())
}
