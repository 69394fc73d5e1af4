// Package httpx holds the HTTP server helpers that the daemon's roles share.
package httpx

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"peridotwinch.example/peridotwinch/api"
)

// ReadHeaderTimeout bounds the time that a client takes to send its headers.
const ReadHeaderTimeout = 10 * time.Second

// hopByHopHeaders are removed when a message is forwarded: they apply to one connection, or
// the forwarding side sets them itself.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authorization", "Proxy-Authenticate",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// RemoveHopByHopHeaders removes the headers that apply to one connection only, and
// Content-Length and Expect.
func RemoveHopByHopHeaders(header http.Header) {
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
}

// WriteJSON writes an answer with a JSON body. It ignores write errors.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	var encoded bytes.Buffer
	_ = json.NewEncoder(&encoded).Encode(body)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(encoded.Len()))
	w.WriteHeader(status)
	_, _ = w.Write(encoded.Bytes())
}

// WriteError writes the *api.Error in err's chain with the HTTP status of its code.
func WriteError(w http.ResponseWriter, err error) {
	apiErr := api.AsError(err)
	if apiErr.Outcome != "" {
		w.Header().Set(api.HeaderOutcome, string(apiErr.Outcome))
	}
	if apiErr.RetryAfterMS > 0 {
		w.Header().Set(api.HeaderRetryAfter, strconv.FormatFloat(float64(apiErr.RetryAfterMS)/1000, 'f', -1, 64))
	}
	WriteJSON(w, apiErr.Code.Info().HTTPStatus, &api.ErrorBody{Error: apiErr})
}

// Listen opens a TCP listener. Errors are *api.Error with CodeAddressInUse and name the
// settings field.
func Listen(field, address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, api.FieldErrorf(api.CodeAddressInUse, field, "%v", err)
	}
	return listener, nil
}

// Serve serves handler on listener until ctx ends, then waits up to drainTimeout for the
// requests in progress. It returns an error if the server fails or the timeout expires.
func Serve(ctx context.Context, listener net.Listener, handler http.Handler, drainTimeout time.Duration) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: ReadHeaderTimeout, ConnContext: withConn}
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(listener) }()
	select {
	case err := <-serveErr:
		return errors.Wrap(err, "serve HTTP")
	case <-ctx.Done():
	}
	stopCtx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	return errors.Wrap(server.Shutdown(stopCtx), "shut down HTTP server")
}
