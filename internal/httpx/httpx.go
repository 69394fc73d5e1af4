// Package httpx holds what the HTTP sides of the daemon share.
package httpx

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"peridotwinch.example/peridotwinch/api"
)

// ReadHeaderTimeout bounds the time that a client takes to send its headers.
const ReadHeaderTimeout = 10 * time.Second

// hopHeaders concern one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authorization", "Proxy-Authenticate",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// RemoveHopByHopHeaders removes the headers that concern one connection only.
func RemoveHopByHopHeaders(header http.Header) {
	for _, name := range hopHeaders {
		header.Del(name)
	}
}

// WriteJSON answers with a JSON body.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// WriteError answers with the numbered error in err's chain.
func WriteError(w http.ResponseWriter, err error) {
	numbered := api.AsError(err)
	if numbered.Outcome != "" {
		w.Header().Set(api.HeaderOutcome, string(numbered.Outcome))
	}
	WriteJSON(w, numbered.Code.Info().HTTPStatus, &api.ErrorBody{Error: numbered})
}

// Listen opens a TCP listener; a taken address gives CodeAddressInUse.
func Listen(field, address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, api.FieldErrorf(api.CodeAddressInUse, field, "%v", err)
	}
	return listener, nil
}

// Serve serves handler on listener until ctx ends, then waits up to drain for
// the requests in progress.
func Serve(ctx context.Context, listener net.Listener, handler http.Handler, drain time.Duration) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: ReadHeaderTimeout}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	select {
	case err := <-failed:
		return errors.Wrap(err, "serve HTTP")
	case <-ctx.Done():
	}
	stopCtx, cancel := context.WithTimeout(context.Background(), drain)
	defer cancel()
	return errors.Wrap(server.Shutdown(stopCtx), "shut HTTP down")
}
