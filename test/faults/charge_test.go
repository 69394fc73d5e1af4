package faults

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/testcluster"
)

// requestTimeout limits one request; only a suspended router reaches it.
const requestTimeout = 15 * time.Second

// charge is one charge to a gate server that must not run twice.
type charge struct {
	// id identifies the charge in the executions: its request key or its request ID.
	id     string
	keyed  bool
	method string
	amount int
}

// result is the outcome of one send of a charge.
type result struct {
	outcome api.Outcome
	code    api.Code
	body    string
	// notSent reports that the router refused the connection.
	notSent bool
	// noAnswer reports that the connection ended before a complete response.
	noAnswer bool
	began    time.Time
	ended    time.Time
}

// send sends the charge to a router once.
func (c charge) send(router string) result {
	out := result{began: time.Now()}
	c.sendInto(router, &out)
	out.ended = time.Now()
	return out
}

// sendInto sends the charge and stores the response in out.
func (c charge) sendInto(router string, out *result) {
	resp, err := c.roundTrip(router)
	if err != nil {
		out.notSent = strings.Contains(err.Error(), "connection refused")
		out.noAnswer = !out.notSent
		return
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		out.noAnswer = true
		return
	}
	out.body = string(raw)
	out.outcome = api.Outcome(resp.Header.Get(api.HeaderOutcome))
	errorBody := &api.ErrorBody{}
	if json.Unmarshal(raw, errorBody) == nil && errorBody.Error != nil {
		out.code = errorBody.Error.Code
	}
}

func (c charge) roundTrip(router string) (*http.Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	context.AfterFunc(ctx, cancel)
	body := fmt.Sprintf(`{"charge":%q,"amount":%d}`, c.id, c.amount)
	req, err := http.NewRequestWithContext(ctx, c.method, "http://"+router+"/services/gates/charges/"+c.id, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+callerToken)
	req.Header.Set("Content-Type", "application/json")
	if c.keyed {
		req.Header.Set(api.HeaderIdempotencyKey, c.id)
	} else {
		req.Header.Set(api.HeaderRequestID, c.id)
	}
	// One connection per request: on a reused connection, the HTTP transport could
	// resend the request on its own.
	req.Close = true
	return http.DefaultTransport.RoundTrip(req)
}

// mintKeys requests count keys of the router's failure domain.
func mintKeys(router string, count int) ([]string, error) {
	out := struct {
		Keys []string `json:"keys"`
	}{}
	err := testcluster.Eventually(func() error {
		req, err := http.NewRequest(http.MethodPost, "http://"+router+"/v1/request-keys", strings.NewReader(fmt.Sprintf(`{"count":%d}`, count)))
		if err != nil {
			return err
		}
		req.Header.Set("Authorization", "Bearer "+callerToken)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return err
		}
		defer func() { _ = resp.Body.Close() }()
		if resp.StatusCode != http.StatusOK {
			return errors.Wrap(api.DecodeError(resp), "mint request keys")
		}
		return json.NewDecoder(resp.Body).Decode(&out)
	})
	return out.Keys, err
}
