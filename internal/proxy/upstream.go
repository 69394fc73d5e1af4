package proxy

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/balance"
	"peridotwinch.example/peridotwinch/internal/dispatch"
)

// Limits of the connections to backend servers.
const (
	connectTimeout      = 2 * time.Second
	idleConnTimeout     = 30 * time.Second
	maxIdleConnsPerHost = 64
	copyBufferBytes     = 32 << 10
)

// upstream sends requests to backend servers.
type upstream struct {
	client *http.Client
}

func newUpstream(progress time.Duration) *upstream {
	dialer := &net.Dialer{Timeout: connectTimeout}
	return &upstream{client: &http.Client{Transport: &http.Transport{
		DialContext:           dialer.DialContext,
		IdleConnTimeout:       idleConnTimeout,
		MaxIdleConnsPerHost:   maxIdleConnsPerHost,
		ResponseHeaderTimeout: progress,
		DisableCompression:    true,
	}}}
}

// outgoing is a request as it goes to a backend server.
type outgoing struct {
	method      string
	path        string
	body        []byte
	contentType string
	requestID   string
	key         string
	class       api.Class
}

// onceBody is a body that net/http cannot rewind, so that it never replays the
// request on a second connection by itself.
type onceBody struct{ io.Reader }

func (o outgoing) build(ctx context.Context, server balance.ServerID) (*http.Request, error) {
	body := onceBody{bytes.NewReader(o.body)}
	req, err := http.NewRequestWithContext(ctx, o.method, "http://"+string(server)+o.path, body)
	if err != nil {
		return nil, api.Errorf(api.CodeRequestInvalid, "%v", err).NotRun()
	}
	req.ContentLength = int64(len(o.body))
	req.Header.Set(api.HeaderRequestID, o.requestID)
	req.Header.Set(api.HeaderPriority, string(o.class))
	if o.contentType != "" {
		req.Header.Set("Content-Type", o.contentType)
	}
	if o.key != "" {
		req.Header.Set(api.HeaderIdempotencyKey, o.key)
	}
	return req, nil
}

// forward sends a request under a lease and copies the answer to the caller.
func (p *Proxy) forward(w http.ResponseWriter, r *http.Request, lease *dispatch.Lease, out outgoing) error {
	started := time.Now()
	result := balance.Result{Failed: true}
	defer func() { lease.Release(result) }()
	req, err := out.build(r.Context(), lease.Server)
	if err != nil {
		return err
	}
	resp, err := p.upstream.client.Do(req)
	if err != nil {
		return api.Errorf(api.CodeBackendFailed, "%v", err).MayHaveRun()
	}
	defer resp.Body.Close()
	result.FirstByte = time.Since(started)
	w.Header().Set("Content-Type", resp.Header.Get("Content-Type"))
	w.WriteHeader(resp.StatusCode)
	result.Failed = copyFlushing(w, resp.Body) != nil
	return nil
}

// copyFlushing copies an answer and flushes after each read.
func copyFlushing(w http.ResponseWriter, body io.Reader) error {
	controller := http.NewResponseController(w)
	buffer := make([]byte, copyBufferBytes)
	for {
		n, readErr := body.Read(buffer)
		if n > 0 {
			if _, err := w.Write(buffer[:n]); err != nil {
				return err
			}
			_ = controller.Flush()
		}
		if readErr == io.EOF {
			return nil
		}
		if readErr != nil {
			return readErr
		}
	}
}
