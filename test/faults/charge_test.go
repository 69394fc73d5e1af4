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

// callTimeout bounds one call; only a frozen router reaches it.
const callTimeout = 15 * time.Second

// charge is one gate charge that must not run twice.
type charge struct {
	// id names the charge in the executions: its key, or its request ID.
	id     string
	keyed  bool
	method string
	amount int
}

// result is what one send of a charge came to.
type result struct {
	outcome api.Outcome
	code    api.Code
	body    string
	// unsent says that no router took the connection.
	unsent bool
	// broken says that the connection ended without an answer.
	broken bool
	began  time.Time
	ended  time.Time
}

// send sends the charge to a router once.
func (c charge) send(router string) result {
	out := result{began: time.Now()}
	c.call(router, &out)
	out.ended = time.Now()
	return out
}

// call fills in what the caller got.
func (c charge) call(router string, out *result) {
	resp, err := c.do(router)
	if err != nil {
		out.unsent = strings.Contains(err.Error(), "connection refused")
		out.broken = !out.unsent
		return
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		out.broken = true
		return
	}
	out.body = string(raw)
	out.outcome = api.Outcome(resp.Header.Get(api.HeaderOutcome))
	failure := &api.ErrorBody{}
	if json.Unmarshal(raw, failure) == nil && failure.Error != nil {
		out.code = failure.Error.Code
	}
}

func (c charge) do(router string) (*http.Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
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
	// The caller must not replay either: one connection a call.
	req.Close = true
	return http.DefaultTransport.RoundTrip(req)
}

// mintKeys asks a router for keys of its failure domain.
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
			return errors.Wrap(api.DecodeError(resp), "mint keys")
		}
		return json.NewDecoder(resp.Body).Decode(&out)
	})
	return out.Keys, err
}
