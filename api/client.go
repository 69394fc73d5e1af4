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

// HeaderOperator is the header with the operator name that the audit trail records.
const HeaderOperator = "Peridotwinch-Operator"

const (
	// callTimeout bounds one call. It is longer than a control instance without a quorum takes
	// to answer.
	callTimeout = 8 * time.Second
	// callRounds is the number of attempts at each control instance.
	callRounds = 2
	// callRetryDelay is the delay between two rounds.
	callRetryDelay = 200 * time.Millisecond
)

// Client is a client of the resource API. It tries the control instances in turn until one
// answers, and retries a write with the same request ID, so that the write is applied only once.
type Client struct {
	bases    []string
	operator string
	http     *http.Client
}

// NewClient returns a client for the control instances at the given addresses
// ("ip:port", separated by commas). Each call has a connection of its own, on which no answer to
// an earlier call can arrive.
func NewClient(addresses, operator string) *Client {
	transport := &http.Transport{Proxy: http.ProxyFromEnvironment, DisableKeepAlives: true}
	c := &Client{operator: operator, http: &http.Client{Transport: transport}}
	for _, address := range strings.Split(addresses, ",") {
		c.bases = append(c.bases, "http://"+strings.TrimSpace(address))
	}
	return c
}

// ResourceList is a consistent list of the resources of a kind at a revision.
type ResourceList struct {
	Revision uint64      `json:"revision"`
	Items    []*Resource `json:"items"`
}

// Put creates a resource if its resourceVersion is 0, and otherwise replaces that version. It
// returns the stored resource, and CodeVersionConflict if the stored version differs. If
// requestID is empty, Put generates one. A retry with the same ID returns the first answer.
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

// Delete deletes a resource if it has the given version, or any version if version is 0. If
// requestID is empty, Delete generates one.
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

// Audit calls handle with each page of the audit trail after a revision, or of the whole
// retained trail if the revision is 0. It returns the first error of a call or of handle.
func (c *Client) Audit(ctx context.Context, after uint64, handle func(*ChangeList) error) error {
	for {
		page := &ChangeList{}
		path := "/apis/v1/audit?revision=" + strconv.FormatUint(after, 10)
		if err := c.call(ctx, http.MethodGet, path, "", nil, page); err != nil {
			return err
		}
		if err := handle(page); err != nil || len(page.Items) == 0 {
			return err
		}
		after = page.Items[len(page.Items)-1].Revision
		if after >= page.Revision {
			return nil
		}
	}
}

// RouteTable returns the declared form of the route table in force, which the instances' adapter
// serves at the path. The error has CodeNotConfigured if there is none yet.
func (c *Client) RouteTable(ctx context.Context, path string) ([]byte, error) {
	var out json.RawMessage
	err := c.call(ctx, http.MethodGet, path, "", nil, &out)
	return out, err
}

// ControlStatus returns the status of the first control instance that answers.
func (c *Client) ControlStatus(ctx context.Context) (*ControlStatus, error) {
	out := &ControlStatus{}
	return out, c.call(ctx, http.MethodGet, "/apis/v1/status", "", nil, out)
}

func resourcePath(kind Kind, ref Ref) string {
	return "/apis/v1/" + string(kind) + "/" + url.PathEscape(string(ref))
}

// call tries the control instances in turn until one returns a success or an error that another
// instance would return too.
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
		if round > 0 && !sleep(ctx, callRetryDelay) {
			return err
		}
		for _, base := range c.bases {
			err = c.callOne(ctx, method, base+path, requestID, body, out)
			if err == nil || !isRetryable(err) || ctx.Err() != nil {
				return err
			}
		}
	}
	return err
}

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// isRetryable reports whether another control instance may succeed.
func isRetryable(err error) bool {
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
		return Errorf(CodeUnreachable, "the response is truncated or not valid JSON: %v", err)
	}
	return nil
}

// DecodeError returns the numbered error in the body of a refusal, or CodeInternal if there is
// none.
func DecodeError(resp *http.Response) *Error {
	body := &ErrorBody{}
	if err := json.NewDecoder(resp.Body).Decode(body); err != nil || body.Error == nil {
		return Errorf(CodeInternal, "response with status %d has no numbered error", resp.StatusCode)
	}
	return body.Error
}
