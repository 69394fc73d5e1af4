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
	// watchSilence is the time without a line after which a watch is dead.
	watchSilence = 5 * time.Second
	// maxEventBytes bounds a line of a watch.
	maxEventBytes = 4 << 20
)

// Watch calls handle with each event of a kind, or of one resource where ref is
// set, above a revision. It goes on at another control instance where one fails
// or falls silent, and never goes back in revision. It returns when ctx ends,
// when handle fails, or with CodeRevisionGone: then list again and watch from
// the list's revision.
func (c *Client) Watch(ctx context.Context, kind Kind, ref Ref, revision uint64, handle func(*Event) error) error {
	path := "/apis/v1/" + string(kind)
	if ref != "" {
		path = resourcePath(kind, ref)
	}
	for i := 0; ; i++ {
		target := c.bases[i%len(c.bases)] + path + "?watch=1&revision=" + strconv.FormatUint(revision, 10)
		err := c.watchOne(ctx, target, func(event *Event) error {
			revision = max(revision, event.Revision)
			return handle(event)
		})
		if !tryNext(err) {
			return err
		}
		if !wait(ctx, callRetryDelay) {
			return ctx.Err()
		}
	}
}

// watchOne follows one control instance until it fails or falls silent.
func (c *Client) watchOne(ctx context.Context, target string, handle func(*Event) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(callTimeout, cancel)
	defer silence.Stop()
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
		silence.Reset(watchSilence)
		event := &Event{}
		if err := json.Unmarshal(scanner.Bytes(), event); err != nil {
			return Errorf(CodeUnreachable, "a line of the watch is cut short: %v", err)
		}
		if event.Type == EventError {
			return event.Error
		}
		if err := handle(event); err != nil {
			return err
		}
	}
	return Errorf(CodeUnreachable, "the watch ended: %v", scanner.Err())
}
