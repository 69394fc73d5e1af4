package testcluster

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/fakebackend"
)

// Caller sends chat requests to routers and checks that the answers are complete.
type Caller struct {
	Token string
	HTTP  http.Client
}

// Ask sends a chat request to a router and returns the text of the answer, streamed or not.
// If the status is not 200, it returns the error in the answer.
func (c *Caller) Ask(ctx context.Context, router string, request *api.ChatRequest, headers http.Header) (string, error) {
	raw, err := json.Marshal(request)
	if err != nil {
		return "", err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+router+"/v1/chat/completions", bytes.NewReader(raw))
	if err != nil {
		return "", err
	}
	if headers != nil {
		req.Header = headers.Clone()
	}
	req.Header.Set("Authorization", "Bearer "+c.Token)
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return "", api.DecodeError(resp)
	}
	if request.Stream {
		return ReadStream(resp)
	}
	body := &api.ChatResponse{}
	if err := json.NewDecoder(resp.Body).Decode(body); err != nil {
		return "", errors.Wrap(err, "decode the answer")
	}
	return body.Choices[0].Message.Content, nil
}

// ReadStream reads a streamed answer up to its end event and returns its text. If the stream
// has an error event or ends without the end event, it returns the text so far and an error.
func ReadStream(resp *http.Response) (string, error) {
	var text strings.Builder
	scanner := bufio.NewScanner(resp.Body)
	for scanner.Scan() {
		data, found := strings.CutPrefix(scanner.Text(), "data: ")
		if !found {
			continue
		}
		if data == api.StreamEnd {
			// The body must be read to its end for the connection to be reused.
			_, err := io.Copy(io.Discard, resp.Body)
			return text.String(), err
		}
		if err := addChunk(&text, data); err != nil {
			return text.String(), err
		}
	}
	return text.String(), errors.Errorf("the stream ended without its end event: %v", scanner.Err())
}

// addChunk appends the text of a stream event's data, or returns the error that it reports.
func addChunk(text *strings.Builder, data string) error {
	failure := &api.ErrorBody{}
	if err := json.Unmarshal([]byte(data), failure); err == nil && failure.Error != nil {
		return failure.Error
	}
	chunk := &api.ChatChunk{}
	if err := json.Unmarshal([]byte(data), chunk); err != nil {
		return errors.Wrap(err, "decode a chunk")
	}
	for _, choice := range chunk.Choices {
		text.WriteString(choice.Delta.Content)
	}
	return nil
}

// AskVerified is like Ask, but checks that the answer is the complete answer to this
// request instead of returning it.
func (c *Caller) AskVerified(ctx context.Context, router string, request *api.ChatRequest, headers http.Header) error {
	got, err := c.Ask(ctx, router, request, headers)
	if err != nil {
		return err
	}
	if want := strings.Join(fakebackend.ExpectedAnswer(request), ""); got != want {
		return errors.Errorf("wrong or incomplete answer: got %q, want %q", got, want)
	}
	return nil
}
