package api

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
)

// HeaderOperator names the operator that the audit trail records.
const HeaderOperator = "Peridotwinch-Operator"

const (
	// callTimeout bounds one call; a control instance answers within it, also
	// where it has no quorum.
	callTimeout = 8 * time.Second
	// callRounds is how often each control instance is tried.
	callRounds = 2
	// callRetryDelay is the pause between two rounds.
	callRetryDelay = 200 * time.Millisecond
)

// Client calls the resource API of control instances, one after the other
// until one answers. It sends a write again under the same request ID, so that
// it is applied once.
type Client struct {
	bases    []string
	operator string
	http     *http.Client
}

// NewClient returns a client for the control instances at the given addresses
// ("ip:port", separated by commas).
func NewClient(addresses, operator string) *Client {
	c := &Client{operator: operator, http: &http.Client{}}
	for _, address := range strings.Split(addresses, ",") {
		c.bases = append(c.bases, "http://"+strings.TrimSpace(address))
	}
	return c
}

// ResourceList is a consistent list of resources at a revision.
type ResourceList struct {
	Revision uint64      `json:"revision"`
	Items    []*Resource `json:"items"`
}

// Put creates a resource at resourceVersion 0, or replaces the one at the given
// version. An empty requestID makes a new one; a resend under the same ID gets
// the first answer.
func (c *Client) Put(ctx context.Context, ref Ref, resource *Resource, requestID string) (*Resource, error) {
	if requestID == "" {
		requestID = uuid.NewString()
	}
	out := &Resource{}
	return out, c.call(ctx, http.MethodPut, resourcePath(resource.Kind, ref), requestID, resource, out)
}

// Get returns a resource with its status.
func (c *Client) Get(ctx context.Context, kind Kind, ref Ref) (*Resource, error) {
	out := &Resource{}
	return out, c.call(ctx, http.MethodGet, resourcePath(kind, ref), "", nil, out)
}

// Delete removes a resource; a version of zero removes it whatever its version.
func (c *Client) Delete(ctx context.Context, kind Kind, ref Ref, version uint64, requestID string) error {
	if requestID == "" {
		requestID = uuid.NewString()
	}
	path := resourcePath(kind, ref) + "?resourceVersion=" + strconv.FormatUint(version, 10)
	return c.call(ctx, http.MethodDelete, path, requestID, nil, nil)
}

// List returns all resources of a kind.
func (c *Client) List(ctx context.Context, kind Kind) (*ResourceList, error) {
	out := &ResourceList{}
	return out, c.call(ctx, http.MethodGet, "/apis/v1/"+string(kind), "", nil, out)
}

// Audit calls take with the audit trail above a revision, part by part; zero
// stands for the oldest change that is kept.
func (c *Client) Audit(ctx context.Context, above uint64, take func(*ChangeList) error) error {
	for {
		part := &ChangeList{}
		path := "/apis/v1/audit?revision=" + strconv.FormatUint(above, 10)
		if err := c.call(ctx, http.MethodGet, path, "", nil, part); err != nil {
			return err
		}
		if err := take(part); err != nil || len(part.Items) == 0 {
			return err
		}
		above = part.Items[len(part.Items)-1].Revision
		if above >= part.Revision {
			return nil
		}
	}
}

// ControlStatus returns what the first control instance that answers knows of
// itself and its group.
func (c *Client) ControlStatus(ctx context.Context) (*ControlStatus, error) {
	out := &ControlStatus{}
	return out, c.call(ctx, http.MethodGet, "/apis/v1/status", "", nil, out)
}

func resourcePath(kind Kind, ref Ref) string {
	return "/apis/v1/" + string(kind) + "/" + url.PathEscape(string(ref))
}

// call tries the control instances in turn until one gives a final answer.
func (c *Client) call(ctx context.Context, method, path, requestID string, in, out any) error {
	var body []byte
	if in != nil {
		raw, err := json.Marshal(in)
		if err != nil {
			return Errorf(CodeUsage, "%v", err)
		}
		body = raw
	}
	var err error
	for round := range callRounds {
		if round > 0 && !wait(ctx, callRetryDelay) {
			return err
		}
		for _, base := range c.bases {
			err = c.callOne(ctx, method, base+path, requestID, body, out)
			if err == nil || !tryNext(err) || ctx.Err() != nil {
				return err
			}
		}
	}
	return err
}

func wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// tryNext reports whether another control instance may give an answer.
func tryNext(err error) bool {
	code := AsError(err).Code
	return code == CodeUnreachable || code == CodeNoQuorum || code == CodeDraining
}

func (c *Client) callOne(ctx context.Context, method, target, requestID string, body []byte, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := c.request(ctx, method, target, requestID, body)
	if err != nil {
		return err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Errorf(CodeUnreachable, "%v", err)
	}
	defer func() { _ = resp.Body.Close() }()
	return decodeResponse(resp, out)
}

func (c *Client) request(ctx context.Context, method, target, requestID string, body []byte) (*http.Request, error) {
	var reader io.Reader
	if body != nil {
		reader = bytes.NewReader(body)
	}
	req, err := http.NewRequestWithContext(ctx, method, target, reader)
	if err != nil {
		return nil, Errorf(CodeUsage, "%v", err)
	}
	req.Header.Set(HeaderOperator, c.operator)
	if requestID != "" {
		req.Header.Set(HeaderRequestID, requestID)
	}
	return req, nil
}

func decodeResponse(resp *http.Response, out any) error {
	if resp.StatusCode >= http.StatusBadRequest {
		return DecodeError(resp)
	}
	if out == nil {
		return nil
	}
	if err := json.NewDecoder(resp.Body).Decode(out); err != nil {
		return Errorf(CodeUnreachable, "the answer is cut short: %v", err)
	}
	return nil
}

// DecodeError reads the numbered error of a refusal.
func DecodeError(resp *http.Response) *Error {
	body := &ErrorBody{}
	if err := json.NewDecoder(resp.Body).Decode(body); err != nil || body.Error == nil {
		return Errorf(CodeInternal, "status %d without a numbered error", resp.StatusCode)
	}
	return body.Error
}
