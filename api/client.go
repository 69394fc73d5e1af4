package api

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/google/uuid"
)

// HeaderOperator names the operator that the audit trail records.
const HeaderOperator = "Peridotwinch-Operator"

// Client calls the resource API of a control instance.
type Client struct {
	base     string
	operator string
	http     *http.Client
}

// NewClient returns a client for the control instance at address ("ip:port").
func NewClient(address, operator string) *Client {
	return &Client{base: "http://" + address, operator: operator, http: &http.Client{}}
}

// ResourceList is a consistent list of resources at a revision.
type ResourceList struct {
	Revision uint64      `json:"revision"`
	Items    []*Resource `json:"items"`
}

// Put creates or replaces a resource. An empty requestID makes a new one.
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

func resourcePath(kind Kind, ref Ref) string {
	return "/apis/v1/" + string(kind) + "/" + url.PathEscape(string(ref))
}

func (c *Client) call(ctx context.Context, method, path, requestID string, in, out any) error {
	var body io.Reader
	if in != nil {
		raw, err := json.Marshal(in)
		if err != nil {
			return err
		}
		body = bytes.NewReader(raw)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return Errorf(CodeUsage, "%v", err)
	}
	req.Header.Set(HeaderOperator, c.operator)
	if requestID != "" {
		req.Header.Set(HeaderRequestID, requestID)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Errorf(CodeUnreachable, "%v", err)
	}
	defer resp.Body.Close()
	return decodeResponse(resp, out)
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
